"""Decide which endpoints may get new work."""

from collections import deque

from ..core import Clock
from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import Request

# Window over which the requests to a cold endpoint are counted.
COLD_WINDOW_S = 1.0


class Eligibility:
    """Rules that each choice of an endpoint must obey.

    Args:
        directory: Deployment in force.
        endpoints: Known endpoints.
        clock: Source of time.

    Attributes:
        n_gateways: Gateways among which a cold endpoint's request rate is divided.
    """

    __slots__ = ("_clock", "_cold_sends", "_directory", "_endpoints", "n_gateways")

    def __init__(
        self, directory: Directory, endpoints: Endpoints, clock: Clock
    ) -> None:
        self._directory = directory
        self._endpoints = endpoints
        self._clock = clock
        self._cold_sends: dict[str, deque[float]] = {}
        self.n_gateways = 1

    def for_request(self, request: Request) -> list[Endpoint]:
        """Return the endpoints that may run a request now.

        Endpoints that failed or refused it are returned only if there are no others.
        """
        allowed = [
            endpoint
            for endpoint in self._endpoints.of_service(request.service)
            if self.accepts(endpoint)
        ]
        fresh = [end for end in allowed if end.name not in request.excluded]
        return fresh or allowed

    def accepts(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get new work now."""
        if not self.may_receive(endpoint):
            return False
        now = self._clock.now()
        if now < endpoint.backoff_until:
            return False
        return now >= endpoint.cold_until or self._is_below_cold_limit(endpoint, now)

    def may_receive(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is neither leaving nor out of service.

        Unlike `accepts`, it passes endpoints that are cold or in backoff.
        """
        if endpoint.entry.is_draining or endpoint.leaving_since is not None:
            return False
        return endpoint.entry.failure_domain not in self._directory.domains_out

    def note_send(self, endpoint: Endpoint) -> None:
        """Record a request that is sent to an endpoint, if the endpoint is cold."""
        now = self._clock.now()
        if now < endpoint.cold_until:
            self._cold_sends.setdefault(endpoint.name, deque()).append(now)
        else:
            self._cold_sends.pop(endpoint.name, None)

    def _is_below_cold_limit(self, endpoint: Endpoint, now: float) -> bool:
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or not rule.cold_requests_per_s:
            return True
        sends = self._cold_sends.get(endpoint.name, deque())
        while sends and sends[0] <= now - COLD_WINDOW_S:
            sends.popleft()
        allowed = max(1.0, rule.cold_requests_per_s * COLD_WINDOW_S / self.n_gateways)
        return len(sends) + 1 <= allowed
