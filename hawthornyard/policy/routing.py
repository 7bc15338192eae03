"""Choose the endpoint for an attempt."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Message, RandomSource
from .affinity import PrefixAffinity
from .endpoint_view import EndpointView

N_CHOICES = 2
CACHED_PREFIX_SCORE_FACTOR = 0.8
# From this occupancy on an endpoint is about to queue attempts.
AFFINITY_MAX_OCCUPANCY = 0.8


class Choice(Message):
    """A routing decision.

    Attributes:
        endpoint: The chosen endpoint.
        candidates: Names of the endpoints that were compared.
        scores: Score of each candidate, in seconds per token; the lowest wins.
        reason: Why the endpoint was chosen.
    """

    __slots__ = ("endpoint", "candidates", "scores", "reason")

    def __init__(
        self,
        endpoint: str,
        candidates: Sequence[str],
        scores: Sequence[float],
        reason: str,
    ) -> None:
        self.endpoint = endpoint
        self.candidates = candidates
        self.scores = scores
        self.reason = reason


class RoutingPolicy(Protocol):
    """A policy that chooses among eligible endpoints."""

    def choose(
        self, views: Sequence[EndpointView], *, prefix: str = ""
    ) -> Choice | None:
        """Return the choice, or None if there are no views.

        Args:
            views: Eligible endpoints.
            prefix: Identifier of the prompt's prefix, empty for none.
        """
        ...


class PowerOfTwoChoices:
    """Power of two random choices, plus one endpoint that likely cached the prefix.

    The score of an endpoint is its mean time per token, times 1 plus its
    occupancy. An endpoint without a measurement counts with the mean of the
    others. A cached prefix multiplies the score by a fixed factor, but only
    while the endpoint is not about to queue attempts. The lowest score wins.

    Args:
        random_source: Source of randomness.
        n_choices: Number of random endpoints to compare.
        affinity: Likely holders of prefixes; None to route without affinity.
    """

    __slots__ = ("_affinity", "_n_choices", "_random_source")

    def __init__(
        self,
        random_source: RandomSource,
        *,
        n_choices: int = N_CHOICES,
        affinity: PrefixAffinity | None = None,
    ) -> None:
        self._random_source = random_source
        self._n_choices = n_choices
        self._affinity = affinity

    def choose(
        self, views: Sequence[EndpointView], *, prefix: str = ""
    ) -> Choice | None:
        """Return the candidate with the lowest score, None if there are no views."""
        if not views:
            return None
        holders = self._affinity.holders(prefix) if self._affinity else []
        compared = self._random_source.sample(views, min(self._n_choices, len(views)))
        compared += [view for view in views if view.endpoint in holders[:1]]
        mean_s = _mean_s_per_token(views)
        scores = [_score(view, mean_s, view.endpoint in holders) for view in compared]
        best = scores.index(min(scores))
        names = [view.endpoint for view in compared]
        if self._affinity:
            self._affinity.on_sent(prefix, names[best])
        return Choice(names[best], names, scores, _reason(compared, best, holders))


def _score(view: EndpointView, mean_s: float, has_prefix: bool) -> float:
    score = (view.s_per_token or mean_s) * (1.0 + view.occupancy)
    if has_prefix and view.occupancy < AFFINITY_MAX_OCCUPANCY:
        return score * CACHED_PREFIX_SCORE_FACTOR
    return score


def _mean_s_per_token(views: Sequence[EndpointView]) -> float:
    measured = [view.s_per_token for view in views if view.s_per_token]
    return sum(measured) / len(measured) if measured else 1.0


def _reason(compared: Sequence[EndpointView], best: int, holders: Sequence[str]) -> str:
    if len(compared) == 1:
        return "only candidate"
    if compared[best].endpoint in holders:
        return "lowest score, prefix likely cached"
    return "lowest score"
