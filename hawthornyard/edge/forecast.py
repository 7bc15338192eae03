"""Forecast when a service has capacity, from what its endpoints are known to run."""

from collections.abc import Iterable, Sequence
from statistics import median

from ..core import Clock
from ..policy import (
    BackoffPredictor,
    EngineLoad,
    LengthSource,
    RunningWork,
    WaitingWork,
    forecast_starts,
    length_quantile,
)
from .directory import Directory
from .eligibility import Eligibility
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .placement import DEFAULT_PREFILL_RATE, MAX_MEMORY_SHARE

# Gap between events in seconds that is assumed until one of the service was measured
# and if the route has no target: a usual decoding step of several tokens.
DEFAULT_GAP_S = 0.05
# Time for which the median speed of a service is used again: it is made of averages
# over many events, and asking all endpoints for each waiting request is slow.
SPEED_TTL_S = 0.1


class _Speed:
    """Median speed of the endpoints of a service.

    Attributes:
        measured_at: Monotonic time in seconds of the measurement.
        prefill_rate: Prefill rate in tokens per second, 0 if unknown.
        gap_s: Gap between events in seconds, 0 if unknown.
        answer_s: Time of a whole answer in seconds, 0 if unknown.
    """

    __slots__ = ("answer_s", "gap_s", "measured_at", "prefill_rate")

    def __init__(self, endpoints: Sequence[Endpoint], now: float) -> None:
        self.measured_at = now
        self.prefill_rate = _known_median(end.prefill_rate for end in endpoints)
        self.gap_s = _known_median(end.mean_gap_s for end in endpoints)
        self.answer_s = _known_median(end.mean_answer_s for end in endpoints)


class ServiceForecast:
    """Forecast of the starts and durations of requests at the endpoints of a service.

    Args:
        directory: Deployment in force, for the memory and event size of engines.
        endpoints: Known endpoints, with what they run and the speed that was seen.
        eligibility: Tells which endpoints may get new work.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_eligibility",
        "_endpoints",
        "_lengths",
        "_speeds",
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
        self._speeds: dict[str, _Speed] = {}
        self._lengths = BackoffPredictor()

    def note_end(self, request: Request) -> None:
        """Learn from the length of a generation that has ended."""
        source = _length_source(request)
        if source is not None and request.last_event:
            n_tokens = request.last_event * self._tokens_per_event(request.service)
            self._lengths.observe(source, n_tokens)

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
        mean_s = sum(work.duration_s for work in waiting) / len(waiting)
        return forecast_starts(
            [self._engine_load(endpoint, mean_s) for endpoint in endpoints],
            waiting,
            share=self._share(endpoints),
        )

    def target_start(self, request: Request) -> float:
        """Return the latest start to meet the target, in monotonic seconds."""
        return request.arrived_at + request.route.target_s - self.answer_s(request)

    def latest_s(self, request: Request) -> float:
        """Return the seconds until the latest start to be served.

        From then on the deadline passes before its first event, or its whole answer if
        it is no stream.
        """
        return request.deadline - self._clock.now() - self.answer_s(request)

    def answer_s(self, request: Request) -> float:
        """Return the seconds from a start to the first event, or whole answer."""
        if request.route.is_stream:
            return self._prefill_s(request)
        return self.duration_s(request)

    def duration_s(self, request: Request) -> float:
        """Return the expected seconds from a start to the end of the answer."""
        if request.call.size is None:
            return self._plain_answer_s(request.service)
        return self._prefill_s(request) + self._writing_s(request, 0)

    def first_endpoint(self, request: Request) -> tuple[Endpoint, float] | None:
        """Return the endpoint that has capacity for a request first, and in how long.

        Returns:
            The endpoint and the seconds, None if the service has no endpoint.
        """
        waiting = [self._waiting_work(request)]
        waiting[0].latest_s = float("inf")
        starts = [
            (
                forecast_starts(
                    [self._engine_load(end, waiting[0].duration_s)], waiting
                ),
                end,
            )
            for end in self._usable(request.service)
        ]
        if not starts:
            return None
        (start_s,), endpoint = min(starts, key=lambda item: item[0])
        return endpoint, start_s

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
            self.duration_s(request),
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

    def _engine_load(self, endpoint: Endpoint, mean_s: float) -> EngineLoad:
        own = list(endpoint.requests.values())
        running = [
            RunningWork(request.n_tokens, self._left_s(request, endpoint))
            for request in own
        ]
        n_others = endpoint.n_running - len(own)
        # Mirrors hold memory as well; like the requests of others they end some time
        # within the duration of a request.
        n_tokens = endpoint.used_tokens - sum(request.n_tokens for request in own)
        if n_tokens > 0 or n_others > 0:
            n_parts = max(1, n_others)
            running += [
                RunningWork(n_tokens // n_parts, mean_s * (index + 1) / n_parts)
                for index in range(n_parts)
            ]
        n_slots = endpoint.entry.n_slots + len(running) - endpoint.n_running
        return EngineLoad(
            n_slots,
            self._memory_tokens(endpoint.entry.service),
            running,
            endpoint.allowance.wait_s(),
        )

    def _left_s(self, request: Request, endpoint: Endpoint) -> float:
        attempt = request.attempt
        if attempt is None:
            return 0.0
        running_s = self._clock.now() - attempt.sent_at
        if request.call.size is None:
            answer_s = endpoint.mean_answer_s or self._plain_answer_s(request.service)
            # One that takes longer than usual goes on for about as long again.
            return answer_s - running_s if running_s < answer_s else running_s
        prefill_s = 0.0
        if attempt.first_event_at is None and not attempt.is_resumed:
            rate = endpoint.prefill_rate or self._prefill_rate(request.service)
            prefill_s = max(0.0, attempt.n_prefill_ahead / rate - running_s)
        n_done = request.last_event * self._tokens_per_event(request.service)
        return prefill_s + self._writing_s(request, n_done, endpoint.mean_gap_s)

    def _writing_s(
        self, request: Request, n_done: int, gap_s: float | None = None
    ) -> float:
        n_events = self._output_left(request, n_done) / self._tokens_per_event(
            request.service
        )
        return n_events * (gap_s or self._gap_s(request))

    def _output_left(self, request: Request, n_done: int) -> int:
        source = _length_source(request)
        if source is None or request.call.size is None:
            return 0
        hint = request.call.size.expected_tokens
        if hint is not None and n_done < min(hint, source.max_tokens):
            return min(hint, source.max_tokens) - n_done
        return max(0, length_quantile(self._lengths, source, n_done, 0.5))

    def _prefill_s(self, request: Request) -> float:
        if request.call.size is None:
            return self._plain_answer_s(request.service)
        return request.call.size.n_prompt_tokens / self._prefill_rate(request.service)

    def _prefill_rate(self, service: str) -> float:
        return self._speed(service).prefill_rate or DEFAULT_PREFILL_RATE

    def _gap_s(self, request: Request) -> float:
        gap_s = self._speed(request.service).gap_s
        return gap_s or request.route.gap_target_s or DEFAULT_GAP_S

    def _plain_answer_s(self, service: str) -> float:
        # Until an answer was measured, none is refused for its duration.
        return self._speed(service).answer_s

    def _speed(self, service: str) -> "_Speed":
        now = self._clock.now()
        speed = self._speeds.get(service)
        if speed is None or now - speed.measured_at > SPEED_TTL_S:
            speed = _Speed(self._endpoints.of_service(service), now)
            self._speeds[service] = speed
        return speed

    def _memory_tokens(self, service: str) -> float | None:
        rule = self._directory.service(service)
        if rule is None or rule.engine is None or not rule.engine.memory_tokens:
            return None
        return MAX_MEMORY_SHARE * rule.engine.memory_tokens

    def _tokens_per_event(self, service: str) -> int:
        rule = self._directory.service(service)
        return (
            1 if rule is None or rule.engine is None else rule.engine.tokens_per_event
        )


def _known_median(values: Iterable[float]) -> float:
    known = [value for value in values if value]
    return median(known) if known else 0.0


def _length_source(request: Request) -> LengthSource | None:
    size = request.call.size
    if size is None:
        return None
    return LengthSource(
        request.request_id, request.service, request.team, size.model, size.max_tokens
    )
