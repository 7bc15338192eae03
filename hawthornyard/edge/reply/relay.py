"""Match answers to requests, in order; drop late and duplicate ones."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ...errors import ErrorKind
from ...gateway.messages import CallerGone, ReplyEnded, ReplyFailed, ReplyResponse
from ..endpoints import FULL_BACKOFF_S, Endpoints
from ..inflight import InFlight
from ..messages import (
    Attempt,
    AttemptAnswered,
    AttemptBegan,
    AttemptBroke,
    AttemptEnded,
    AttemptEvents,
    AttemptFailed,
    AttemptRefused,
    Cancel,
    ReplyBegan,
    ReplyEvents,
    Request,
)

# Lowest HTTP status that counts as a failure of the endpoint.
SERVER_ERROR_STATUS = 500


class Relay:
    """Filter that passes answers on, each event once and in order.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints, which record latencies and failures.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_endpoints", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, endpoints: Endpoints, clock: Clock) -> None:
        self._inflight = inflight
        self._endpoints = endpoints
        self._clock = clock
        self.handlers: Handlers = {
            AttemptAnswered: self._on_attempt_answered,
            AttemptBegan: self._on_attempt_began,
            AttemptEvents: self._on_attempt_events,
            AttemptEnded: self._on_attempt_ended,
            AttemptRefused: self._on_attempt_refused,
            AttemptBroke: self._on_attempt_broke,
            CallerGone: self._on_caller_gone,
        }

    def _on_attempt_answered(self, msg: AttemptAnswered) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            return
        if request.has_begun:
            # Any other end would make the events so far look like the whole stream.
            detail = f"the endpoint answered {msg.status} without a stream"
            yield from self._fail_stream(request, detail)
            return
        reply = ReplyResponse(request.call_id, msg.status, msg.headers, msg.body)
        request.n_runs += 1
        endpoint = self._endpoints.get(request.attempt.endpoint)
        if endpoint is not None:
            endpoint.note_outcome(failed=msg.status >= SERVER_ERROR_STATUS)
        if msg.status < SERVER_ERROR_STATUS:
            if endpoint is not None:
                endpoint.note_answer(self._clock.now() - request.attempt.sent_at)
            yield reply
            return
        detail = f"the endpoint answered {msg.status}"
        yield self._fail_attempt(request, ErrorKind.ENDPOINT_FAILED, detail, reply)

    def _on_attempt_began(self, msg: AttemptBegan) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        request.n_runs = max(1, request.n_runs)
        if request.has_begun:
            return
        request.has_begun = True
        yield ReplyBegan(request.call_id, msg.status, msg.headers)

    def _on_attempt_events(self, msg: AttemptEvents) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            return
        new_data: list[bytes] = []
        missing_before: int | None = None
        last_event = request.last_event
        for event in msg.events:
            if event.number > last_event + 1:
                missing_before = event.number
                break
            if event.number == last_event + 1:
                new_data.append(event.data)
                last_event = event.number
        if new_data:
            self._note_timing(request, len(new_data))
            request.last_event = last_event
            yield ReplyEvents(request.call_id, b"".join(new_data))
        if missing_before is not None:
            yield from self._fail_stream(
                request, f"event {missing_before} is out of order"
            )

    def _on_attempt_ended(self, msg: AttemptEnded) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is not None:
            yield ReplyEnded(request.call_id, request.last_event, "stop")

    def _on_attempt_refused(self, msg: AttemptRefused) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            return
        if msg.is_absent:
            self._endpoints.note_absent(request.attempt.endpoint)
        else:
            self._endpoints.back_off(request.attempt.endpoint, FULL_BACKOFF_S)
        if request.has_begun:
            yield from self._fail_stream(request, msg.detail)
            return
        kind = ErrorKind.NO_ENDPOINT if msg.is_absent else ErrorKind.OVERLOADED
        yield self._fail_attempt(request, kind, msg.detail)

    def _on_attempt_broke(self, msg: AttemptBroke) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None or request.attempt is None:
            return
        request.n_runs += 1
        self._note_failure(request)
        yield self._broken_decision(request, request.attempt, msg.detail)
        if request.has_begun:
            yield from self._fail_stream(request, msg.detail)
            return
        yield self._fail_attempt(request, ErrorKind.OUTCOME_UNKNOWN, msg.detail)

    def _broken_decision(
        self, request: Request, attempt: Attempt, detail: str
    ) -> Decision:
        now = self._clock.now()
        writing_s = None
        if attempt.first_event_at is not None:
            writing_s = round(now - attempt.first_event_at, 3)
        return Decision(
            "attempt_broke",
            request_id=request.request_id,
            reason=detail,
            endpoint=attempt.endpoint,
            seconds=round(now - attempt.sent_at, 3),
            writing_s=writing_s,
            n_events=request.last_event,
            prefix=request.prefix,
        )

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is None:
            return
        if request.attempt is not None:
            # A caller that left within the target latency is no sign of a failure.
            waited_s = self._clock.now() - request.attempt.sent_at
            if not request.has_begun and waited_s > request.route.target_s:
                self._note_failure(request)
            yield Cancel(request.attempt.attempt_id)
        yield ReplyFailed(msg.call_id, ErrorKind.CANCELLED)

    def _note_failure(self, request: Request) -> None:
        attempt = request.attempt
        endpoint = self._endpoints.get(attempt.endpoint) if attempt else None
        if endpoint is not None:
            endpoint.note_outcome(failed=True)

    def _note_timing(self, request: Request, n_events: int) -> None:
        attempt = request.attempt
        if attempt is None:
            return
        now = self._clock.now()
        endpoint = self._endpoints.get(attempt.endpoint)
        request.note_events(now)
        if endpoint is not None and attempt.last_event_at is None:
            if attempt.n_prefill_ahead and not attempt.is_resumed:
                endpoint.note_prefill(attempt.n_prefill_ahead, now - attempt.sent_at)
        elif endpoint is not None and attempt.last_event_at is not None:
            endpoint.note_gap((now - attempt.last_event_at) / n_events)
        if endpoint is not None:
            endpoint.n_absences = 0
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        attempt.last_event_at = now

    def _fail_attempt(
        self,
        request: Request,
        kind: ErrorKind,
        detail: str,
        reply: ReplyResponse | None = None,
    ) -> Message:
        if request.attempt is not None:
            request.excluded.add(request.attempt.endpoint)
        self._inflight.end_attempt(request)
        return AttemptFailed(request, kind, detail, reply)

    def _fail_stream(self, request: Request, detail: str) -> Iterator[Message]:
        if request.attempt is None:
            return
        yield Decision(
            "stream_lost",
            request_id=request.request_id,
            reason=detail,
            endpoint=request.attempt.endpoint,
            n_events=request.last_event,
        )
        yield Cancel(request.attempt.attempt_id)
        yield ReplyFailed(
            request.call_id, ErrorKind.GENERATION_LOST, detail, request.last_event
        )
