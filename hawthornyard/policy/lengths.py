"""Predict the remaining length of a generation from the lengths of earlier ones."""

import math
from collections.abc import Sequence
from typing import Protocol

from ..core import Message

CHARACTERS_PER_TOKEN = 4
BUCKETS_PER_OCTAVE = 4
# 17 octaves reach 131,072 tokens.
N_BUCKETS = BUCKETS_PER_OCTAVE * 17 + 1
DECAY_OBSERVATIONS = 1000
BACKOFF_OBSERVATIONS = 8.0
PRIOR_SCALE_TOKENS = 256.0
# Weights grow exponentially; above this, all are scaled down.
RESCALE_ABOVE_WEIGHT = 1e9
# From 2 to 131,072 tokens in steps of half an octave.
QUANTILE_GRID_TOKENS = tuple(round(2 ** (step / 2)) for step in range(2, 35))


class LengthSource(Message):
    """The origin of a generation, as far as its length depends on it.

    Attributes:
        request_id: Identifier of the request.
        service: Service that the request belongs to.
        team: Team that sent it.
        model: Model that generates.
        max_tokens: Upper bound on the output, in tokens.
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
    """A predictor of the remaining length of a generation."""

    def survival(
        self, source: LengthSource, n_done: int, further_tokens: Sequence[int]
    ) -> list[float]:
        """Return the survival function of the remaining length.

        Args:
            source: Origin of the generation.
            n_done: Tokens generated so far, after which it still runs.
            further_tokens: Numbers of further tokens, ascending.

        Returns:
            The probability that the generation still runs after each number of
            further tokens.
        """
        ...

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Learn the length, in tokens, of a generation that ended by itself."""
        ...


class LengthHistogram:
    """A histogram of lengths in which older observations decay exponentially.

    Each observation weighs a constant factor more than the one before, which
    spares scaling down all earlier weights.

    Args:
        decay_observations: Observations after which the weight of one, relative
            to the newest, has fallen to 1/e.
    """

    __slots__ = ("_bucket_weights", "_next_weight", "_tail_weights", "_weight_growth")

    def __init__(self, *, decay_observations: int = DECAY_OBSERVATIONS) -> None:
        self._weight_growth = 1.0 + 1.0 / decay_observations
        self._next_weight = 1.0
        self._bucket_weights = [0.0] * N_BUCKETS
        self._tail_weights: list[float] | None = None

    def add(self, n_tokens: int) -> None:
        """Add an observation, in tokens; the earlier ones decay by one step."""
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

        The newest observation weighs 1. Within a bucket the weight is
        interpolated linearly.

        Args:
            positions: Lengths on the scale of `bucket_position`.
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
    """A predictor from histograms by team, service and model, with backoff.

    The survival function is estimated from the observations longer than the
    tokens generated so far. The estimate of each histogram is smoothed with the
    next wider one's, from team to service to model, as if that were
    `backoff_observations` more observations; a histogram with little weight
    there thus leaves the answer to the wider one. Behind the model's histogram
    stands a heavy-tailed prior: a Lomax (Pareto type II) distribution of shape 1
    and scale `PRIOR_SCALE_TOKENS`.

    Args:
        backoff_observations: Weight of the next wider estimate, in observations.
        max_histograms: Histograms kept; the least recently updated is dropped.
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
        """Return the survival function; see `LengthPredictor.survival`.

        It is 0 from the end that `max_tokens` sets.
        """
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
        """Add a length, in tokens, to the histograms of its team, service and model."""
        for key in _histogram_keys(source):
            histogram = self._histograms.pop(key, None) or LengthHistogram()
            histogram.add(n_tokens)
            # Reinsertion keeps the dictionary in order of the last update.
            self._histograms[key] = histogram
        while len(self._histograms) > self._max_histograms:
            del self._histograms[next(iter(self._histograms))]


def estimate_prompt_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt from its number of characters."""
    return 1 + len(prompt) // CHARACTERS_PER_TOKEN


def length_quantile(
    predictor: LengthPredictor, source: LengthSource, n_done: int, probability: float
) -> int:
    """Return a quantile of the remaining length, in tokens.

    The survival function is interpolated linearly between the grid's lengths.

    Args:
        predictor: Predicts the remaining length.
        source: Origin of the generation.
        n_done: Tokens generated so far.
        probability: The quantile, 0 to 1.

    Returns:
        Further tokens that such a generation stays within with this probability;
        all that `max_tokens` leaves if the grid does not reach the quantile.
    """
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
    """Return the position of a length, in tokens, on the logarithmic bucket scale."""
    return min(N_BUCKETS - 1.0, BUCKETS_PER_OCTAVE * math.log2(1.0 + n_tokens))


def _histogram_keys(source: LengthSource) -> list[str]:
    return [
        f"model/{source.model}",
        f"service/{source.service}",
        f"team/{source.service}/{source.team}",
    ]
