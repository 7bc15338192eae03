"""Forecast when a service has capacity, from what its endpoints are known to run."""

from collections.abc import Sequence
from statistics import fmean

from ..core import Clock
from ..policy import EngineLoad, RunningWork, WaitingWork, forecast_starts
from .directory import Directory
from .durations import Durations
from .eligibility import Eligibility
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .placement import MAX_MEMORY_SHARE


class ServiceForecast:
    """Forecast of the starts and durations of requests at the endpoints of a service.

    Args:
        directory: Deployment in force, for the memory and event size of engines.
        endpoints: Known endpoints, with what they run and the speed that was seen.
        eligibility: Tells which endpoints may get new work.
        clock: Source of time.

    Attributes:
        durations: Expected durations of requests.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_eligibility",
        "_endpoints",
        "durations",
    )

    def __init__(
        self,
        directory: Directory,
        endpoints: Endpoints,
        eligibility: Eligibility,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._clock = clock
        self.durations = Durations(directory, endpoints, clock)

    def starts(
        self,
        requests: Sequence[Request],
        *,
        open_ended: Request | None = None,
    ) -> list[float]:
        """Return when each waiting request of one service can start.

        Args:
            requests: Waiting requests of the service in their order.
            open_ended: Request whose start is of interest also beyond its deadline.

        Returns:
            Seconds from now, infinite if it can't start before its latest start.
        """
        endpoints = self._usable(requests[0].service)
        waiting = [self._waiting_work(request) for request in requests]
        for work, request in zip(waiting, requests, strict=True):
            if request is open_ended:
                work.latest_s = float("inf")
        usual_s = self._usual_s(endpoints, waiting)
        return forecast_starts(
            [self._engine_load(endpoint, usual_s) for endpoint in endpoints],
            waiting,
            share=self._share(endpoints),
        )

    def target_start(self, request: Request) -> float:
        """Return the latest start to meet the target, in monotonic seconds."""
        return (
            request.arrived_at
            + request.route.target_s
            - self.durations.answer_s(request)
        )

    def latest_s(self, request: Request) -> float:
        """Return the seconds until the latest start to be served.

        From then on the deadline passes before its first event, or its whole answer if
        it is no stream.
        """
        return request.deadline - self._clock.now() - self.durations.answer_s(request)

    def first_endpoint(self, request: Request) -> tuple[Endpoint, float] | None:
        """Return the endpoint that has capacity for a request first, and in how long.

        Returns:
            The endpoint and the seconds, None if the service has no endpoint.
        """
        waiting = [self._waiting_work(request)]
        waiting[0].latest_s = float("inf")
        endpoints = self._usable(request.service)
        if not endpoints:
            return None
        usual_s = self._usual_s(endpoints, waiting)
        starts_s = {
            endpoint.name: forecast_starts(
                [self._engine_load(endpoint, usual_s)], waiting
            )[0]
            for endpoint in endpoints
        }
        first = min(endpoints, key=lambda end: starts_s[end.name])
        return first, starts_s[first.name]

    def has_endpoints(self, service: str) -> bool:
        """Return whether a service has an endpoint that may get new work some time."""
        return bool(self._usable(service))

    def is_oversized(self, request: Request) -> bool:
        """Return whether no engine has capacity for a request, even if it is idle."""
        limit = self._memory_tokens(request.service)
        return limit is not None and request.n_tokens > limit

    def roomy_endpoint(self, request: Request) -> Endpoint | None:
        """Return the endpoint with most room for a request, if only there it fits.

        The memory beyond the share that the placement fills counts as room. One that is
        larger than the whole memory needs an engine that runs nothing.

        Returns:
            The endpoint, None if it has no room, or so much that the placement must
            have another reason not to use it.
        """
        rule = self._directory.service(request.service)
        limit = self._memory_tokens(request.service)
        if rule is None or rule.engine is None or limit is None:
            return None
        endpoints = [
            endpoint
            for endpoint in self._eligibility.for_request(request)
            if endpoint.n_running < endpoint.entry.n_slots
        ]
        roomiest = min(endpoints, key=lambda end: end.used_tokens, default=None)
        if roomiest is None:
            return None
        memory_tokens = rule.engine.memory_tokens
        need = roomiest.used_tokens + min(request.n_tokens, memory_tokens)
        return roomiest if limit < need <= memory_tokens else None

    def _waiting_work(self, request: Request) -> WaitingWork:
        return WaitingWork(
            request.n_tokens,
            self.durations.whole_s(request),
            priority=request.priority,
            target_s=self.target_start(request) - self._clock.now(),
            latest_s=self.latest_s(request),
        )

    def _usable(self, service: str) -> list[Endpoint]:
        endpoints = self._endpoints.of_service(service)
        return [end for end in endpoints if self._eligibility.may_receive(end)]

    def _share(self, endpoints: Sequence[Endpoint]) -> float:
        # Gateways get capacity in proportion to what they run; one that runs nothing
        # yet gets an equal part.
        n_running = sum(end.n_running for end in endpoints)
        n_own = sum(end.n_own_running for end in endpoints)
        equal_part = 1.0 / max(1, self._eligibility.n_gateways)
        return max(equal_part, n_own / n_running) if n_running else 1.0

    def _usual_s(
        self, endpoints: Sequence[Endpoint], waiting: Sequence[WaitingWork]
    ) -> float:
        # Duration of what other gateways run, of which only counts are known. It is of
        # the kinds that run and wait here: those that wait may all be brief.
        running_s = [
            self.durations.whole_s(request)
            for endpoint in endpoints
            for request in endpoint.requests.values()
        ]
        return fmean([*running_s, *(work.duration_s for work in waiting)])

    def _engine_load(self, endpoint: Endpoint, usual_s: float) -> EngineLoad:
        own = list(endpoint.requests.values())
        running = [
            RunningWork(request.n_tokens, self.durations.left_s(request, endpoint))
            for request in own
        ]
        n_others = endpoint.n_running - len(own)
        # Mirrors hold memory as well; like the requests of others they end some time
        # within the duration of a request.
        n_tokens = endpoint.used_tokens - sum(request.n_tokens for request in own)
        if n_tokens > 0 or n_others > 0:
            n_parts = max(1, n_others)
            running += [
                RunningWork(n_tokens // n_parts, usual_s * (index + 1) / n_parts)
                for index in range(n_parts)
            ]
        n_slots = endpoint.entry.n_slots + len(running) - endpoint.n_running
        return EngineLoad(
            n_slots,
            self._memory_tokens(endpoint.entry.service),
            running,
            endpoint.allowance.wait_s(),
        )

    def _memory_tokens(self, service: str) -> float | None:
        rule = self._directory.service(service)
        if rule is None or rule.engine is None or not rule.engine.memory_tokens:
            return None
        return MAX_MEMORY_SHARE * rule.engine.memory_tokens
