"""Measure the pipeline of a gateway that calls endpoints without sidecars."""

from collections.abc import Iterator

from ..core import Clock, Decision, Handlers, Message, Tick
from ..edge.inflight import InFlight
from ..edge.messages import AttemptFailed, CopyAnswered, ReplyEvents
from ..gateway.messages import ReplyEnded, ReplyFailed, ReplyResponse
from .admission_metrics import AdmissionMetrics
from .gateway_metrics import DURATION_BUCKETS_S
from .metrics import FIRST_TOKEN_BUCKETS_S, KIND_OK, ProgramMetrics

EVENT_GAP_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.18, 0.35, 0.7, 1.5, 3.0)
COPY_DURATION_BUCKETS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.0)


class MeasureEdge:
    """Filter that counts and times replies, events, copies and failed attempts.

    Label values come only from the deployment and from closed lists, never from
    callers, which bounds the number of time series.

    Args:
        metrics: Metrics of the program.
        inflight: Maps a reply to its request.
        clock: Source of time.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_copy_duration",
        "_duration",
        "_event_gap",
        "_failures",
        "_first_event",
        "_inflight",
        "_metrics",
        "_requests",
        "handlers",
    )

    def __init__(
        self, metrics: ProgramMetrics, inflight: InFlight, clock: Clock
    ) -> None:
        self._metrics = metrics
        self._inflight = inflight
        self._clock = clock
        self._admission = AdmissionMetrics(metrics)
        self._requests = metrics.add_counter(
            "requests", "Answered requests.", ["service", "kind"]
        )
        self._failures = metrics.add_counter(
            "attempt_failures", "Attempts that another may follow.", ["kind"]
        )
        self._first_event = metrics.add_histogram(
            "time_to_first_event_seconds",
            "Time from a request to the first event of its stream.",
            FIRST_TOKEN_BUCKETS_S,
            ["service"],
        )
        self._event_gap = metrics.add_histogram(
            "event_gap_seconds",
            "Pause between two events of a stream.",
            EVENT_GAP_BUCKETS_S,
            ["service"],
        )
        self._duration = metrics.add_histogram(
            "request_duration_seconds",
            "Time from a request to the end of its answer.",
            DURATION_BUCKETS_S,
            ["service"],
        )
        self._copy_duration = metrics.add_histogram(
            "copy_duration_seconds",
            "Time that a copy of a run took.",
            COPY_DURATION_BUCKETS_S,
            ["done"],
        )
        self.handlers: Handlers = {
            ReplyEvents: self._on_reply_events,
            ReplyEnded: self._on_answered,
            ReplyResponse: self._on_answered,
            ReplyFailed: self._on_reply_failed,
            AttemptFailed: self._on_attempt_failed,
            CopyAnswered: self._on_copy_answered,
            Decision: self._on_decision,
            Tick: metrics.on_tick,
        }

    def _on_decision(self, msg: Decision) -> Iterator[Message]:
        self._admission.note_decision(msg)
        yield from self._metrics.on_decision(msg)

    def _on_reply_events(self, msg: ReplyEvents) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is not None and request.last_gap_s is not None:
            self._event_gap.labels(request.service).observe(request.last_gap_s)
        elif request is not None and request.first_event_s is not None:
            self._first_event.labels(request.service).observe(request.first_event_s)
        yield msg

    def _on_answered(self, msg: ReplyEnded | ReplyResponse) -> Iterator[Message]:
        self._observe_end(msg.call_id, KIND_OK)
        yield msg

    def _on_reply_failed(self, msg: ReplyFailed) -> Iterator[Message]:
        self._observe_end(msg.call_id, msg.kind.value)
        yield msg

    def _on_attempt_failed(self, msg: AttemptFailed) -> Iterator[Message]:
        self._failures.labels(msg.kind.value).inc()
        yield msg

    def _on_copy_answered(self, msg: CopyAnswered) -> Iterator[Message]:
        self._copy_duration.labels("yes" if msg.is_done else "no").observe(msg.seconds)
        yield msg

    def _observe_end(self, call_id: str, kind: str) -> None:
        request = self._inflight.by_call(call_id)
        service = request.service if request is not None else ""
        self._requests.labels(service, kind).inc()
        if request is not None:
            seconds = self._clock.now() - request.arrived_at
            self._duration.labels(service).observe(seconds)
            if kind == KIND_OK:
                self._admission.note_answer(request, seconds)
