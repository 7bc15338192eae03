"""Measure calls and replies in the gateway's pipeline."""

from collections.abc import Iterator

from ..core import Clock, Decision, Handlers, Message, Tick
from ..gateway.inflight import InFlight
from ..gateway.messages import (
    AttemptFailed,
    Call,
    ReplyEnded,
    ReplyFailed,
    ReplyResponse,
    ReplyTokens,
    Request,
)
from .metrics import FIRST_TOKEN_BUCKETS_S, KIND_OK, ProgramMetrics
from .token_meters import TokenMeters

DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)


class CallTimes:
    """Arrival time and last token time of each call in flight.

    Attributes:
        arrived_at: Monotonic seconds of the arrival, by call.
        last_token_at: Monotonic seconds of the last token sent, by call.
    """

    __slots__ = ("arrived_at", "last_token_at")

    def __init__(self) -> None:
        self.arrived_at: dict[str, float] = {}
        self.last_token_at: dict[str, float] = {}

    def pop(self, call_id: str) -> float | None:
        """Remove a call and return its arrival time, None if it is not known."""
        self.last_token_at.pop(call_id, None)
        return self.arrived_at.pop(call_id, None)


class RecordArrivals:
    """Filter that records when calls enter the gateway's pipeline."""

    __slots__ = ("_clock", "_times", "handlers")

    def __init__(self, times: CallTimes, clock: Clock) -> None:
        self._times = times
        self._clock = clock
        self.handlers: Handlers = {Call: self._on_call}

    def _on_call(self, msg: Call) -> Iterator[Message]:
        self._times.arrived_at[msg.call_id] = self._clock.now()
        yield msg


class MeasureReplies:
    """Filter that measures replies on their way to callers.

    It precedes `CloseRequests`, which removes the request of a final reply.

    Args:
        metrics: Metrics of the program.
        times: Arrival times of calls.
        inflight: Maps a reply to its request.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_duration",
        "_failures",
        "_first_token",
        "_inflight",
        "_meters",
        "_metrics",
        "_requests",
        "_retries",
        "_times",
        "handlers",
    )

    def __init__(
        self,
        metrics: ProgramMetrics,
        times: CallTimes,
        inflight: InFlight,
        clock: Clock,
    ) -> None:
        self._metrics = metrics
        self._times = times
        self._inflight = inflight
        self._clock = clock
        self._requests = metrics.add_counter(
            "requests", "Answered requests.", ["service", "kind"]
        )
        self._meters = TokenMeters()
        metrics.registry.register(self._meters)
        self._failures = metrics.add_counter(
            "attempt_failures", "Attempts that another may follow.", ["kind"]
        )
        self._retries = metrics.add_counter("retries", "Attempts after a failed one.")
        self._first_token = metrics.add_histogram(
            "time_to_first_token_seconds",
            "Time from a call to its first token.",
            FIRST_TOKEN_BUCKETS_S,
            ["service"],
        )
        self._duration = metrics.add_histogram(
            "request_duration_seconds",
            "Time from a call to the end of its answer.",
            DURATION_BUCKETS_S,
            ["service"],
        )
        self.handlers: Handlers = {
            ReplyTokens: self._on_reply_tokens,
            ReplyEnded: self._on_answered,
            ReplyResponse: self._on_answered,
            ReplyFailed: self._on_reply_failed,
            AttemptFailed: self._on_attempt_failed,
            Decision: self._on_decision,
            Tick: metrics.on_tick,
        }

    def _on_reply_tokens(self, msg: ReplyTokens) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is not None:
            self._observe_tokens(msg, request)
        yield msg

    def _observe_tokens(self, msg: ReplyTokens, request: Request) -> None:
        now = self._clock.now()
        service = request.service.name
        meter = self._meters.for_service(service)
        meter.n_tokens += len(msg.texts)
        last_token_at = self._times.last_token_at.get(msg.call_id)
        arrived_at = self._times.arrived_at.get(msg.call_id)
        if last_token_at is not None:
            meter.observe_gap(now - last_token_at)
        elif arrived_at is not None:
            self._first_token.labels(service).observe(now - arrived_at)
        self._times.last_token_at[msg.call_id] = now

    def _on_answered(self, msg: ReplyEnded | ReplyResponse) -> Iterator[Message]:
        self._observe_end(msg.call_id, KIND_OK)
        yield msg

    def _on_reply_failed(self, msg: ReplyFailed) -> Iterator[Message]:
        self._observe_end(msg.call_id, msg.kind.value)
        yield msg

    def _observe_end(self, call_id: str, kind: str) -> None:
        request = self._inflight.by_call(call_id)
        service = request.service.name if request is not None else ""
        self._requests.labels(service, kind).inc()
        arrived_at = self._times.pop(call_id)
        if arrived_at is not None:
            self._duration.labels(service).observe(self._clock.now() - arrived_at)

    def _on_attempt_failed(self, msg: AttemptFailed) -> Iterator[Message]:
        self._failures.labels(msg.kind.value).inc()
        yield msg

    def _on_decision(self, msg: Decision) -> Iterator[Message]:
        if msg.details.get("retried"):
            self._retries.inc()
        return self._metrics.on_decision(msg)
