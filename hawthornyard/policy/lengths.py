"""Predict how long a generation still runs from the lengths of earlier ones."""

import math
from collections.abc import Sequence
from typing import Protocol

from ..core import Message

CHARACTERS_PER_TOKEN = 4
BUCKETS_PER_OCTAVE = 4
N_BUCKETS = BUCKETS_PER_OCTAVE * 17 + 1
DECAY_OBSERVATIONS = 1000
BACKOFF_OBSERVATIONS = 8.0
PRIOR_SCALE_TOKENS = 256.0
RESCALE_ABOVE_WEIGHT = 1e9
QUANTILE_GRID_TOKENS = tuple(round(2 ** (step / 2)) for step in range(2, 35))


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
        self, source: LengthSource, n_done: int, further_tokens: Sequence[int]
    ) -> list[float]:
        """Return the probability of each further number of tokens.

        Args:
            source: Where the generation comes from.
            n_done: Tokens that it has generated and not ended at.
            further_tokens: Further numbers of tokens, ascending.
        """
        ...

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Learn the length of a generation that ended by itself."""
        ...


class LengthHistogram:
    """A histogram of lengths in which older observations fade.

    Args:
        decay_observations: Observations after which the weight of one falls to 1/e.
    """

    __slots__ = ("_bucket_weights", "_next_weight", "_tail_weights", "_weight_growth")

    def __init__(self, *, decay_observations: int = DECAY_OBSERVATIONS) -> None:
        self._weight_growth = 1.0 + 1.0 / decay_observations
        self._next_weight = 1.0
        self._bucket_weights = [0.0] * N_BUCKETS
        self._tail_weights: list[float] | None = None

    def add(self, n_tokens: int) -> None:
        """Add an observation; all earlier ones fade a little."""
        self._next_weight *= self._weight_growth
        index = int(bucket_position(n_tokens))
        self._bucket_weights[index] += self._next_weight
        self._tail_weights = None
        if self._next_weight > RESCALE_ABOVE_WEIGHT:
            self._bucket_weights = [
                weight / self._next_weight for weight in self._bucket_weights
            ]
            self._next_weight = 1.0

    def tail_weights(self, positions: Sequence[float]) -> list[float]:
        """Return the weight of the observations above each position.

        Args:
            positions: Lengths in buckets; see `bucket_position`.
        """
        tail_weights = self._tail_weights
        if tail_weights is None:
            tail_weights = self._tail_weights = self._sum_tail_weights()
        results = []
        for position in positions:
            index = int(position)
            weight_here = tail_weights[index]
            results.append(
                weight_here
                + (position - index) * (tail_weights[index + 1] - weight_here)
            )
        return results

    def _sum_tail_weights(self) -> list[float]:
        tail_weights = [0.0] * (N_BUCKETS + 1)
        for index in range(N_BUCKETS - 1, -1, -1):
            tail_weights[index] = (
                tail_weights[index + 1]
                + self._bucket_weights[index] / self._next_weight
            )
        return tail_weights


class BackoffPredictor:
    """Histograms by team, service and model, each backed by the next.

    A histogram with little weight above the tokens generated so far leaves
    the answer to the next wider one, and the widest to a heavy-tailed prior.

    Args:
        backoff_observations: Observations that the wider histogram counts for.
        max_histograms: Histograms that are kept.
    """

    __slots__ = ("_backoff_observations", "_histograms", "_max_histograms")

    def __init__(
        self,
        *,
        backoff_observations: float = BACKOFF_OBSERVATIONS,
        max_histograms: int = 4096,
    ) -> None:
        self._backoff_observations = backoff_observations
        self._max_histograms = max_histograms
        self._histograms: dict[str, LengthHistogram] = {}

    def survival(
        self, source: LengthSource, n_done: int, further_tokens: Sequence[int]
    ) -> list[float]:
        """Return the probability of each further number of tokens."""
        scale = PRIOR_SCALE_TOKENS + n_done
        probabilities = [scale / (scale + n_tokens) for n_tokens in further_tokens]
        positions = [bucket_position(n_done)]
        positions += [bucket_position(n_done + n_tokens) for n_tokens in further_tokens]
        wider_weight = self._backoff_observations
        for key in _histogram_keys(source):
            histogram = self._histograms.get(key)
            if histogram is None:
                continue
            weight_here, *weights_beyond = histogram.tail_weights(positions)
            total_weight = weight_here + wider_weight
            probabilities = [
                (weight_beyond + wider_weight * wider_probability) / total_weight
                for weight_beyond, wider_probability in zip(
                    weights_beyond, probabilities, strict=True
                )
            ]
        n_left = source.max_tokens - n_done
        return [
            probability if n_tokens < n_left else 0.0
            for n_tokens, probability in zip(further_tokens, probabilities, strict=True)
        ]

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Add a length to the histograms of its team, service and model."""
        for key in _histogram_keys(source):
            histogram = self._histograms.pop(key, None) or LengthHistogram()
            histogram.add(n_tokens)
            # Reinsertion keeps the dictionary in order of last use.
            self._histograms[key] = histogram
        while len(self._histograms) > self._max_histograms:
            del self._histograms[next(iter(self._histograms))]


def estimate_prompt_tokens(prompt: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def length_quantile(
    predictor: LengthPredictor, source: LengthSource, n_done: int, probability: float
) -> int:
    """Return the further tokens that a share of such generations stays within."""
    survival = predictor.survival(source, n_done, QUANTILE_GRID_TOKENS)
    target = 1.0 - probability
    lower_tokens, lower_survival = 0, 1.0
    for n_tokens, upper_survival in zip(QUANTILE_GRID_TOKENS, survival, strict=True):
        if upper_survival <= target:
            fraction = (lower_survival - target) / (lower_survival - upper_survival)
            return math.ceil(lower_tokens + fraction * (n_tokens - lower_tokens))
        lower_tokens, lower_survival = n_tokens, upper_survival
    return source.max_tokens - n_done


def bucket_position(n_tokens: int) -> float:
    """Return the place of a length in the buckets, which grow with the length."""
    return min(N_BUCKETS - 1.0, BUCKETS_PER_OCTAVE * math.log2(1.0 + n_tokens))


def _histogram_keys(source: LengthSource) -> list[str]:
    return [
        f"model/{source.model}",
        f"service/{source.service}",
        f"team/{source.service}/{source.team}",
    ]
