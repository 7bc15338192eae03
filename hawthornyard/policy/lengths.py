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


class LengthSource(Message):
    """Where a generation comes from, as far as its length depends on it.

    Attributes:
        attempt_id: The attempt.
        service: Service it belongs to.
        team: Team that asked for it.
        model: Model that runs it.
        max_tokens: Bound that the caller set.
    """

    __slots__ = ("attempt_id", "service", "team", "model", "max_tokens")

    def __init__(
        self, attempt_id: str, service: str, team: str, model: str, max_tokens: int
    ) -> None:
        self.attempt_id = attempt_id
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
        index = min(N_BUCKETS - 1, int(_position(n_tokens)))
        self._weights[index] += self._unit
        self._tails = None
        if self._unit > MAX_WEIGHT:
            self._weights = [weight / self._unit for weight in self._weights]
            self._unit = 1.0

    def tail(self, n_tokens: int) -> float:
        """Return the weight of the observations above a length."""
        if self._tails is None:
            self._tails = self._sum_tails()
        position = min(N_BUCKETS - 1.0, _position(n_tokens))
        index = int(position)
        share = position - index
        here, above = self._tails[index], self._tails[index + 1]
        return here + share * (above - here)

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
        backing = self._backoff_weight
        for key in _keys(source):
            histogram = self._histograms.get(key)
            if histogram is None:
                continue
            above = histogram.tail(n_done) + backing
            result = [
                (histogram.tail(n_done + n_tokens) + backing * wider) / above
                for n_tokens, wider in zip(ahead, result, strict=True)
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
    low, high = 0, max(1, source.max_tokens - n_done)
    while low < high:
        middle = (low + high) // 2
        if predictor.survival(source, n_done, [middle])[0] > 1.0 - share:
            low = middle + 1
        else:
            high = middle
    return low


def _keys(source: LengthSource) -> list[str]:
    return [
        f"model/{source.model}",
        f"service/{source.service}",
        f"team/{source.service}/{source.team}",
    ]


def _position(n_tokens: int) -> float:
    return BUCKETS_PER_OCTAVE * math.log2(1.0 + n_tokens)
