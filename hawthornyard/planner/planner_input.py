"""Describe the endpoints and the models that the planner plans for."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from ..core import Message


class Candidate(Message):
    """One endpoint as the planner sees it.

    Attributes:
        endpoint: Name of the endpoint.
        failure_domain: Its failure domain.
        allowed: Models that its record allows it to serve.
        loaded: Models whose weights it has loaded.
        capacity: Requests that it can run at once when warm.
        n_busy: Requests that run or wait there.
        is_available: Whether it is alive, in service and not leaving.
    """

    __slots__ = (
        "endpoint",
        "failure_domain",
        "allowed",
        "loaded",
        "capacity",
        "n_busy",
        "is_available",
    )

    def __init__(
        self,
        endpoint: str,
        failure_domain: str,
        allowed: Sequence[str],
        loaded: Sequence[str],
        capacity: int,
        n_busy: int,
        is_available: bool,
    ) -> None:
        self.endpoint = endpoint
        self.failure_domain = failure_domain
        self.allowed = allowed
        self.loaded = loaded
        self.capacity = capacity
        self.n_busy = n_busy
        self.is_available = is_available


class ModelNeed(Message):
    """One model as the planner sees it.

    Attributes:
        model: Name of the model.
        version: Name of its weights.
        weight_bytes: Size of its weights, 0 if unknown.
        is_open: Whether a service that offers it is open now or soon.
        n_waiting: Requests for it that were not sent to an endpoint yet.
    """

    __slots__ = ("model", "version", "weight_bytes", "is_open", "n_waiting")

    def __init__(
        self,
        model: str,
        version: str,
        weight_bytes: int,
        is_open: bool,
        n_waiting: int,
    ) -> None:
        self.model = model
        self.version = version
        self.weight_bytes = weight_bytes
        self.is_open = is_open
        self.n_waiting = n_waiting


class PlannerInput(Message):
    """The endpoints and models that one decision on a plan takes into account.

    Attributes:
        now: Monotonic seconds.
        candidates: Endpoints that can hold models, available or not.
        needs: Models by name.
    """

    __slots__ = ("now", "candidates", "needs")

    def __init__(
        self,
        now: float,
        candidates: Sequence[Candidate],
        needs: Mapping[str, ModelNeed],
    ) -> None:
        self.now = now
        self.candidates = candidates
        self.needs = needs


class PlannerInputSource(Protocol):
    """A source of the planner's input."""

    def planner_input(self) -> PlannerInput:
        """Return the endpoints and models as this process sees them now."""
        ...
