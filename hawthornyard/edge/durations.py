"""Expect how long requests take, from what was seen of their service."""

from collections.abc import Iterable, Sequence
from statistics import median

from ..core import Clock
from ..policy import BackoffPredictor, LengthSource, length_quantile
from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .placement import DEFAULT_PREFILL_RATE

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


class Durations:
    """Expected durations of requests.

    Args:
        directory: Deployment in force, for the event size of engines.
        endpoints: Known endpoints, with the speed that was seen.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_directory", "_endpoints", "_lengths", "_speeds")

    def __init__(
        self, directory: Directory, endpoints: Endpoints, clock: Clock
    ) -> None:
        self._directory = directory
        self._endpoints = endpoints
        self._clock = clock
        self._speeds: dict[str, _Speed] = {}
        self._lengths = BackoffPredictor()

    def note_end(self, request: Request) -> None:
        """Learn from the length of a generation that has ended."""
        source = _length_source(request)
        if source is not None and request.last_event:
            n_tokens = request.last_event * self._tokens_per_event(request.service)
            self._lengths.observe(source, n_tokens)

    def answer_s(self, request: Request) -> float:
        """Return the seconds from a start to the first event, or whole answer."""
        size = request.call.size
        if request.route.is_stream and size is not None:
            return size.n_prompt_tokens / self._prefill_rate(request.service)
        return self.whole_s(request)

    def whole_s(self, request: Request) -> float:
        """Return the seconds from a start to the end of the answer."""
        size = request.call.size
        if size is None:
            # Until an answer was measured, none is refused for its duration.
            return self._speed(request.service).answer_s
        prefill_s = size.n_prompt_tokens / self._prefill_rate(request.service)
        return prefill_s + self._writing_s(request, 0)

    def left_s(self, request: Request, endpoint: Endpoint) -> float:
        """Return the seconds until a request that runs at an endpoint ends there."""
        attempt = request.attempt
        if attempt is None:
            return 0.0
        running_s = self._clock.now() - attempt.sent_at
        if request.call.size is None:
            answer_s = endpoint.mean_answer_s or self._speed(request.service).answer_s
            # One that takes longer than usual goes on for about as long again.
            return answer_s - running_s if running_s < answer_s else running_s
        prefill_s = 0.0
        if attempt.first_event_at is None and not attempt.is_resumed:
            rate = endpoint.prefill_rate or self._prefill_rate(request.service)
            prefill_s = max(0.0, attempt.n_prefill_ahead / rate - running_s)
        n_done = request.last_event * self._tokens_per_event(request.service)
        return prefill_s + self._writing_s(request, n_done, endpoint.mean_gap_s)

    def _writing_s(self, request: Request, n_done: int, gap_s: float = 0.0) -> float:
        gap_s = gap_s or self._speed(request.service).gap_s
        gap_s = gap_s or request.route.gap_target_s or DEFAULT_GAP_S
        n_left = self._output_left(request, n_done)
        return n_left / self._tokens_per_event(request.service) * gap_s

    def _output_left(self, request: Request, n_done: int) -> int:
        source = _length_source(request)
        if source is None or request.call.size is None:
            return 0
        hint = request.call.size.expected_tokens
        if hint is not None and n_done < min(hint, source.max_tokens):
            return min(hint, source.max_tokens) - n_done
        return max(0, length_quantile(self._lengths, source, n_done, 0.5))

    def _prefill_rate(self, service: str) -> float:
        return self._speed(service).prefill_rate or DEFAULT_PREFILL_RATE

    def _speed(self, service: str) -> _Speed:
        now = self._clock.now()
        speed = self._speeds.get(service)
        if speed is None or now - speed.measured_at > SPEED_TTL_S:
            speed = _Speed(self._endpoints.of_service(service), now)
            self._speeds[service] = speed
        return speed

    def _tokens_per_event(self, service: str) -> int:
        rule = self._directory.service(service)
        if rule is None or rule.engine is None:
            return 1
        return rule.engine.tokens_per_event


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
