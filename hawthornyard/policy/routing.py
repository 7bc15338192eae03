"""Choose the endpoint of an attempt."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Message, RandomSource
from .affinity import PrefixAffinity
from .view import EndpointView

N_CHOICES = 2
AFFINITY_BONUS = 0.8
# Above this share of its room an endpoint is about to queue.
AFFINITY_MAX_CROWDING = 0.8


class Choice(Message):
    """A routing decision.

    Attributes:
        endpoint: The chosen endpoint.
        candidates: Names of the endpoints that were compared.
        scores: Expected wait of each candidate, in seconds.
        reason: Why the chosen one won.
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
    """Choose among endpoints that fit."""

    def choose(
        self, views: Sequence[EndpointView], *, prefix: str = ""
    ) -> Choice | None:
        """Return the choice, or None if no endpoint is given.

        Args:
            views: Endpoints that fit.
            prefix: Name of the prompt's prefix, empty for none.
        """
        ...


class TwoChoices:
    """Compare two random endpoints, and one that likely cached the prefix.

    The score is the measured speed of the endpoint, worse the more of its
    room is taken. A cached prefix improves it by a fixed factor, and only
    while the endpoint is not about to queue.

    Args:
        chance: Source of randomness.
        n_choices: Random endpoints that are compared.
        affinity: Knows the likely holders of prefixes; None for no affinity.
    """

    __slots__ = ("_affinity", "_chance", "_n_choices")

    def __init__(
        self,
        chance: RandomSource,
        *,
        n_choices: int = N_CHOICES,
        affinity: PrefixAffinity | None = None,
    ) -> None:
        self._chance = chance
        self._n_choices = n_choices
        self._affinity = affinity

    def choose(
        self, views: Sequence[EndpointView], *, prefix: str = ""
    ) -> Choice | None:
        """Return the candidate with the lowest score."""
        if not views:
            return None
        holders = self._affinity.holders(prefix) if self._affinity else []
        drawn = self._chance.sample(views, min(self._n_choices, len(views)))
        drawn += [view for view in views if view.endpoint in holders[:1]]
        usual_s = _usual_token_s(views)
        scores = [_score(view, usual_s, view.endpoint in holders) for view in drawn]
        best = scores.index(min(scores))
        names = [view.endpoint for view in drawn]
        if self._affinity:
            self._affinity.on_sent(prefix, names[best])
        return Choice(names[best], names, scores, _reason(drawn, best, holders))


def _score(view: EndpointView, usual_s: float, is_holder: bool) -> float:
    score = (view.token_s or usual_s) * (1.0 + view.crowding)
    if is_holder and view.crowding < AFFINITY_MAX_CROWDING:
        return score * AFFINITY_BONUS
    return score


def _usual_token_s(views: Sequence[EndpointView]) -> float:
    known = [view.token_s for view in views if view.token_s]
    return sum(known) / len(known) if known else 1.0


def _reason(drawn: Sequence[EndpointView], best: int, holders: Sequence[str]) -> str:
    if len(drawn) == 1:
        return "only candidate"
    if drawn[best].endpoint in holders:
        return "lowest score, prefix likely cached"
    return "lowest score"
