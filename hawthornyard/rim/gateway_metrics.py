"""Measure calls and replies in the gateway's pipe."""

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
from .metrics import FIRST_TOKEN_BUCKETS_S, OK, ProgramMetrics
from .token_meters import TokenMeters

DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)


class CallTimes:
    """When calls came and when their last tokens went."""

    __slots__ = ("arrived", "last_token")

    def __init__(self) -> None:
        self.arrived: dict[str, float] = {}
        self.last_token: dict[str, float] = {}

    def forget(self, call_id: str) -> float | None:
        """Drop a call and return when it came, None if that is not known."""
        self.last_token.pop(call_id, None)
        return self.arrived.pop(call_id, None)


class NoteArrivals:
    """Note when calls enter the gateway's pipe."""

    __slots__ = ("_clock", "_times", "handlers")

    def __init__(self, times: CallTimes, clock: Clock) -> None:
        self._times = times
        self._clock = clock
        self.handlers: Handlers = {Call: self._on_call}

    def _on_call(self, msg: Call) -> Iterator[Message]:
        self._times.arrived[msg.call_id] = self._clock.now()
        yield msg


class MeasureReplies:
    """Measure replies on their way to callers; stands before `CloseRequests`.

    Args:
        program: Metrics of the program.
        times: When calls came.
        inflight: Tells the service of a reply.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_duration",
        "_failures",
        "_first_token",
        "_inflight",
        "_meters",
        "_program",
        "_requests",
        "_retries",
        "_times",
        "handlers",
    )

    def __init__(
        self,
        program: ProgramMetrics,
        times: CallTimes,
        inflight: InFlight,
        clock: Clock,
    ) -> None:
        self._program = program
        self._times = times
        self._inflight = inflight
        self._clock = clock
        self._requests = program.counter(
            "requests", "Answered requests.", ["service", "kind"]
        )
        self._meters = TokenMeters()
        program.registry.register(self._meters)
        self._failures = program.counter(
            "attempt_failures", "Attempts that another may follow.", ["kind"]
        )
        self._retries = program.counter("retries", "Attempts after a failed one.")
        self._first_token = program.histogram(
            "time_to_first_token_seconds",
            "Time from a call to its first token.",
            FIRST_TOKEN_BUCKETS_S,
            ["service"],
        )
        self._duration = program.histogram(
            "request_duration_seconds",
            "Time from a call to the end of its answer.",
            DURATION_BUCKETS_S,
            ["service"],
        )
        self.handlers: Handlers = {
            ReplyTokens: self._on_tokens,
            ReplyEnded: self._on_answered,
            ReplyResponse: self._on_answered,
            ReplyFailed: self._on_failed,
            AttemptFailed: self._on_attempt_failed,
            Decision: self._on_decision,
            Tick: program.on_tick,
        }

    def _on_tokens(self, msg: ReplyTokens) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is not None:
            self._observe(msg, request)
        yield msg

    def _observe(self, msg: ReplyTokens, request: Request) -> None:
        now = self._clock.now()
        service = request.service.name
        meter = self._meters.of(service)
        meter.n_tokens += len(msg.texts)
        last = self._times.last_token.get(msg.call_id)
        arrived = self._times.arrived.get(msg.call_id)
        if last is not None:
            meter.observe_gap(now - last)
        elif arrived is not None:
            self._first_token.labels(service).observe(now - arrived)
        self._times.last_token[msg.call_id] = now

    def _on_answered(self, msg: ReplyEnded | ReplyResponse) -> Iterator[Message]:
        self._close(msg.call_id, OK)
        yield msg

    def _on_failed(self, msg: ReplyFailed) -> Iterator[Message]:
        self._close(msg.call_id, msg.kind.value)
        yield msg

    def _close(self, call_id: str, kind: str) -> None:
        request = self._inflight.by_call(call_id)
        service = request.service.name if request is not None else ""
        self._requests.labels(service, kind).inc()
        arrived = self._times.forget(call_id)
        if arrived is not None:
            self._duration.labels(service).observe(self._clock.now() - arrived)

    def _on_attempt_failed(self, msg: AttemptFailed) -> Iterator[Message]:
        self._failures.labels(msg.kind.value).inc()
        yield msg

    def _on_decision(self, msg: Decision) -> Iterator[Message]:
        if msg.details.get("retried"):
            self._retries.inc()
        return self._program.on_decision(msg)
