"""Choose the endpoint that runs a request."""

from collections.abc import Sequence
from typing import Protocol

from .directory import Directory
from .endpoints import Endpoint
from .messages import Request

# Share of an engine's memory that expected work may fill; the rest takes up the
# outputs that turn out longer than expected.
MEMORY_SHARE = 0.9


class Placement(Protocol):
    """Choose among endpoints that may run a request."""

    def has_room(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint can begin a request at once."""
        ...

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return how bad an endpoint is for a request; the least is chosen."""
        ...


class LeastLoaded:
    """Prefer the endpoint with the least work for its size and speed.

    Args:
        directory: Tells what engines can hold.
    """

    __slots__ = ("_directory",)

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def has_room(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether slots and memory hold the request too."""
        if endpoint.n_running >= endpoint.entry.n_slots:
            return False
        room = self._memory_tokens(endpoint) * MEMORY_SHARE
        if not room or not request.n_tokens:
            return True
        return endpoint.used_tokens + request.n_tokens <= room

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the share of slots or memory in use, weighed by the speed."""
        slots = (endpoint.n_running + 1) / max(1, endpoint.entry.n_slots)
        memory_tokens = self._memory_tokens(endpoint)
        if not memory_tokens or not request.n_tokens:
            return slots * (endpoint.answer_s or 1.0)
        memory = (endpoint.used_tokens + request.n_tokens) / memory_tokens
        return max(slots, memory)

    def _memory_tokens(self, endpoint: Endpoint) -> int:
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or rule.engine is None:
            return 0
        return rule.engine.memory_tokens


def cheapest(
    placement: Placement, request: Request, endpoints: Sequence[Endpoint]
) -> Endpoint | None:
    """Return the endpoint with the least cost, None of none."""
    if not endpoints:
        return None
    return min(endpoints, key=lambda end: (placement.cost(request, end), end.name))
