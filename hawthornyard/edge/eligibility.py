"""Decide which endpoints may get new work."""

from .allowance import COLD_WINDOW_S
from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .rollouts import Rollouts


class Eligibility:
    """Rules that each choice of an endpoint must obey.

    Args:
        directory: Deployment in force.
        endpoints: Known endpoints.
        rollouts: Versions that may get requests.

    Attributes:
        n_gateways: Gateways among which a cold endpoint's request rate is divided.
    """

    __slots__ = ("_directory", "_endpoints", "_rollouts", "n_gateways")

    def __init__(
        self, directory: Directory, endpoints: Endpoints, rollouts: Rollouts
    ) -> None:
        self._directory = directory
        self._endpoints = endpoints
        self._rollouts = rollouts
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
        allowed = self._rollouts.narrow(request, allowed)
        fresh = [end for end in allowed if end.name not in request.excluded]
        return fresh or allowed

    def accepts(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get new work now."""
        if not self.may_receive(endpoint):
            return False
        cold = endpoint.allowance.cold
        if cold.is_in_force:
            cold.per_window = self._n_cold_requests(endpoint)
        return not endpoint.allowance.wait_s()

    def may_receive(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is neither leaving nor out of service.

        Unlike `accepts`, it passes endpoints whose allowance is used up.
        """
        if endpoint.entry.is_draining or endpoint.leaving_since is not None:
            return False
        if self._rollouts.forbids(endpoint):
            return False
        return endpoint.entry.failure_domain not in self._directory.domains_out

    def must_move(self, endpoint: Endpoint) -> bool:
        """Return whether the streams of an endpoint are to go on at another one."""
        return endpoint.leaving_since is not None or self._rollouts.is_retired(endpoint)

    def may_resume_at(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get a stream that resumes from a copy."""
        if not self.may_receive(endpoint) or endpoint.allowance.pause.is_in_force:
            return False
        return endpoint.allowance.limit.may_resume()

    def is_limited(self, service: str) -> bool:
        """Return whether some endpoint of a service is at the limit that it named."""
        return any(
            endpoint.allowance.limit.wait_s() > 0 and self.may_receive(endpoint)
            for endpoint in self._endpoints.of_service(service)
        )

    def limit_wait_s(self, service: str, n_ahead: int = 0) -> float | None:
        """Return how long the limits that endpoints named hold up a request.

        Args:
            service: Service of the request.
            n_ahead: Requests that wait for the same endpoints and go first.

        Returns:
            Seconds, None if some endpoint of the service is neither at its limit nor
            paused, or if there are no endpoints.
        """
        allowances = [
            endpoint.allowance
            for endpoint in self._endpoints.of_service(service)
            if self.may_receive(endpoint)
        ]
        waits_s = [max(each.limit.wait_s(), each.pause.wait_s()) for each in allowances]
        if not waits_s or not all(waits_s):
            return None
        rates = [
            each.limit.rate_per_s for each in allowances if not each.pause.is_in_force
        ]
        return min(waits_s) + (n_ahead / sum(rates) if rates else 0.0)

    def pauses_end_at(self, service: str) -> float:
        """Return when the first endpoint ends the pause that it asked for.

        Returns:
            Monotonic time in seconds, minus infinity if some endpoint of the service
            asked for none, or if there are no endpoints.
        """
        return min(
            (
                endpoint.allowance.pause.ends_at
                for endpoint in self._endpoints.of_service(service)
                if self.may_receive(endpoint)
            ),
            default=float("-inf"),
        )

    def n_slots(self, service: str) -> int:
        """Return how many requests the endpoints of a service run concurrently."""
        return sum(
            endpoint.entry.n_slots
            for endpoint in self._endpoints.of_service(service)
            if self.may_receive(endpoint)
        )

    def _n_cold_requests(self, endpoint: Endpoint) -> float | None:
        # Requests that this gateway may send to a cold endpoint in COLD_WINDOW_S.
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or not rule.cold_requests_per_s:
            return None
        return max(1.0, rule.cold_requests_per_s * COLD_WINDOW_S / self.n_gateways)
