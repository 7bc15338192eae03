"""Keep the capacity that an endpoint frees for a request that waits for much of it."""

from ..core import Clock
from .endpoints import Endpoint
from .forecast import ServiceForecast
from .messages import Request
from .placement import Placement


class _Reservation:
    """An endpoint that is kept for a request until its forecast start there."""

    __slots__ = ("endpoint", "request", "start_at")

    def __init__(self, request: Request, endpoint: str, start_at: float) -> None:
        self.request = request
        self.endpoint = endpoint
        self.start_at = start_at


class Reservations:
    """Placement that keeps endpoints for the requests that they are reserved for.

    Addresses a mix of large and small requests: each small one would take the memory
    that another frees, and a large one would never fit. What ends before the forecast
    start of the large one may still use the endpoint.

    Args:
        placement: Policy that decides about all else.
        forecast: Tells how long requests last.
        clock: Source of time.
    """

    __slots__ = ("_by_service", "_clock", "_forecast", "_granted", "_placement")

    def __init__(
        self, placement: Placement, forecast: ServiceForecast, clock: Clock
    ) -> None:
        self._placement = placement
        self._forecast = forecast
        self._clock = clock
        self._by_service: dict[str, _Reservation] = {}
        # Endpoints that start a request whatever the policy says, by call.
        self._granted: dict[str, str] = {}

    def holder(self, service: str) -> Request | None:
        """Return the request that an endpoint of a service is reserved for, if any."""
        held = self._by_service.get(service)
        return held.request if held is not None else None

    def reserve(self, request: Request) -> None:
        """Reserve the endpoint that has capacity for a request first, or renew that."""
        first = self._forecast.first_endpoint(request)
        if first is not None:
            endpoint, start_s = first
            start_at = self._clock.now() + start_s
            held = _Reservation(request, endpoint.name, start_at)
            self._by_service[request.service] = held

    def grant(self, request: Request, endpoint: Endpoint) -> None:
        """Let an endpoint, and no other, start a request."""
        self._granted[request.call_id] = endpoint.name

    def release(self, request: Request) -> None:
        """Drop the reservation of a request that no longer waits."""
        if self.holder(request.service) is request:
            del self._by_service[request.service]

    def forget(self, request: Request) -> None:
        """Drop all that is known of a request."""
        self.release(request)
        self._granted.pop(request.call_id, None)

    def has_capacity(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint can start a request and is not kept for another.

        An endpoint that runs nothing is kept for nobody: it has room for both.
        """
        granted = self._granted.get(request.call_id)
        if granted is not None:
            return granted == endpoint.name
        held = self._by_service.get(request.service)
        if held is not None and endpoint.n_running:
            if held.endpoint == endpoint.name and held.request is not request:
                end_at = self._clock.now() + self._forecast.durations.whole_s(request)
                if end_at > held.start_at:
                    return False
        return self._placement.has_capacity(request, endpoint)

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the cost that the other policy tells."""
        return self._placement.cost(request, endpoint)

    def n_choices(self, request: Request) -> int:
        """Return the sample size that the other policy tells."""
        return self._placement.n_choices(request)
