"""Choose the endpoint of an attempt."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Chance, Message
from .view import EndpointView

N_CHOICES = 2
UNKNOWN_SERVICE_S = 1.0


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

    def choose(self, views: Sequence[EndpointView]) -> Choice | None:
        """Return the choice, or None if no endpoint is given."""
        ...


class TwoChoices:
    """Compare two random endpoints by expected wait.

    Args:
        chance: Source of randomness.
    """

    __slots__ = ("_chance",)

    def __init__(self, chance: Chance) -> None:
        self._chance = chance

    def choose(self, views: Sequence[EndpointView]) -> Choice | None:
        """Return the one of two endpoints that is expected to begin sooner."""
        if not views:
            return None
        drawn = self._chance.sample(views, min(N_CHOICES, len(views)))
        scores = [expected_wait_s(view) for view in drawn]
        best = scores.index(min(scores))
        names = [view.endpoint for view in drawn]
        reason = "only candidate" if len(drawn) == 1 else "shorter expected wait"
        return Choice(names[best], names, scores, reason)


def expected_wait_s(view: EndpointView) -> float:
    """Return the seconds until an endpoint could begin one more attempt."""
    service_s = view.service_s or UNKNOWN_SERVICE_S
    return service_s * view.n_expected / max(1, view.limit)
