"""Predict how long a generation still runs from the lengths of earlier ones."""

import math
from collections.abc import Sequence
from typing import Protocol

from ..core import Message

CHARACTERS_PER_TOKEN = 4
BUCKETS_PER_OCTAVE = 4
N_BUCKETS = BUCKETS_PER_OCTAVE * 17 + 1
MEMORY_OBSERVATIONS = 1000
BACKOFF_WEIGHT = 8.0
PRIOR_SCALE_TOKENS = 256.0
MAX_WEIGHT = 1e9
QUANTILE_GRID = tuple(round(2 ** (step / 2)) for step in range(2, 35))


class LengthSource(Message):
    """Where a generation comes from, as far as its length depends on it.

    Attributes:
        request_id: The request.
        service: Service it belongs to.
        team: Team that asked for it.
        model: Model that runs it.
        max_tokens: Bound that the caller set.
    """

    __slots__ = ("request_id", "service", "team", "model", "max_tokens")

    def __init__(
        self, request_id: str, service: str, team: str, model: str, max_tokens: int
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.team = team
        self.model = model
        self.max_tokens = max_tokens


class LengthPredictor(Protocol):
    """Tell how likely a generation is to run on."""

    def survival(
        self, source: LengthSource, n_done: int, ahead: Sequence[int]
    ) -> list[float]:
        """Return the probability of each further number of tokens.

        Args:
            source: Where the generation comes from.
            n_done: Tokens that it has generated and not ended at.
            ahead: Further numbers of tokens, ascending.
        """
        ...

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Learn the length of a generation that ended by itself."""
        ...


class LengthHistogram:
    """A histogram of lengths in which older observations fade.

    Args:
        memory: Observations after which the weight of one has fallen to 1/e.
    """

    __slots__ = ("_growth", "_tails", "_unit", "_weights")

    def __init__(self, *, memory: int = MEMORY_OBSERVATIONS) -> None:
        self._growth = 1.0 + 1.0 / memory
        self._unit = 1.0
        self._weights = [0.0] * N_BUCKETS
        self._tails: list[float] | None = None

    def add(self, n_tokens: int) -> None:
        """Add an observation; all earlier ones fade a little."""
        self._unit *= self._growth
        index = int(bucket_position(n_tokens))
        self._weights[index] += self._unit
        self._tails = None
        if self._unit > MAX_WEIGHT:
            self._weights = [weight / self._unit for weight in self._weights]
            self._unit = 1.0

    def tails(self, positions: Sequence[float]) -> list[float]:
        """Return the weight of the observations above each position.

        Args:
            positions: Lengths in buckets; see `bucket_position`.
        """
        tails = self._tails
        if tails is None:
            tails = self._tails = self._sum_tails()
        result = []
        for position in positions:
            index = int(position)
            here = tails[index]
            result.append(here + (position - index) * (tails[index + 1] - here))
        return result

    def _sum_tails(self) -> list[float]:
        tails = [0.0] * (N_BUCKETS + 1)
        for index in range(N_BUCKETS - 1, -1, -1):
            tails[index] = tails[index + 1] + self._weights[index] / self._unit
        return tails


class BackoffPredictor:
    """Histograms by team, service and model, each backed by the next.

    A histogram with little weight above the tokens generated so far leaves
    the answer to the next wider one, and the widest to a heavy-tailed prior.

    Args:
        backoff_weight: Observations that the wider histogram counts for.
        max_histograms: Histograms that are kept.
    """

    __slots__ = ("_backoff_weight", "_histograms", "_max_histograms")

    def __init__(
        self,
        *,
        backoff_weight: float = BACKOFF_WEIGHT,
        max_histograms: int = 4096,
    ) -> None:
        self._backoff_weight = backoff_weight
        self._max_histograms = max_histograms
        self._histograms: dict[str, LengthHistogram] = {}

    def survival(
        self, source: LengthSource, n_done: int, ahead: Sequence[int]
    ) -> list[float]:
        """Return the probability of each further number of tokens."""
        scale = PRIOR_SCALE_TOKENS + n_done
        result = [scale / (scale + n_tokens) for n_tokens in ahead]
        positions = [bucket_position(n_done)]
        positions += [bucket_position(n_done + n_tokens) for n_tokens in ahead]
        backing = self._backoff_weight
        for key in _keys(source):
            histogram = self._histograms.get(key)
            if histogram is None:
                continue
            here, *beyond = histogram.tails(positions)
            total = here + backing
            result = [
                (tail + backing * wider) / total
                for tail, wider in zip(beyond, result, strict=True)
            ]
        n_left = source.max_tokens - n_done
        return [
            chance if n_tokens < n_left else 0.0
            for n_tokens, chance in zip(ahead, result, strict=True)
        ]

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Add a length to the histograms of its team, service and model."""
        for key in _keys(source):
            histogram = self._histograms.pop(key, None) or LengthHistogram()
            histogram.add(n_tokens)
            # Reinsertion keeps the dictionary in order of last use.
            self._histograms[key] = histogram
        while len(self._histograms) > self._max_histograms:
            del self._histograms[next(iter(self._histograms))]


def prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def quantile(
    predictor: LengthPredictor, source: LengthSource, n_done: int, share: float
) -> int:
    """Return the further tokens that a share of such generations stays within."""
    chances = predictor.survival(source, n_done, QUANTILE_GRID)
    wanted = 1.0 - share
    before_tokens, before = 0, 1.0
    for n_tokens, chance in zip(QUANTILE_GRID, chances, strict=True):
        if chance <= wanted:
            part = (before - wanted) / (before - chance)
            return math.ceil(before_tokens + part * (n_tokens - before_tokens))
        before_tokens, before = n_tokens, chance
    return source.max_tokens - n_done


def bucket_position(n_tokens: int) -> float:
    """Return the place of a length in the buckets, which grow with the length."""
    return min(N_BUCKETS - 1.0, BUCKETS_PER_OCTAVE * math.log2(1.0 + n_tokens))


def _keys(source: LengthSource) -> list[str]:
    return [
        f"model/{source.model}",
        f"service/{source.service}",
        f"team/{source.service}/{source.team}",
    ]
