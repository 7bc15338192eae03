"""Close a request once its answer is complete."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ...errors import ANSWERS, ErrorKind, Ran
from ...gateway.messages import ReplyEnded, ReplyFailed, ReplyResponse
from ..inflight import InFlight
from ..messages import Closed, Request


class CloseRequests:
    """Filter that emits `Closed` after the final reply, once per request.

    Args:
        inflight: Requests that are not answered yet.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, clock: Clock) -> None:
        self._inflight = inflight
        self._clock = clock
        self.handlers: Handlers = {
            ReplyEnded: self._on_reply_ended,
            ReplyResponse: self._on_reply_response,
            ReplyFailed: self._on_reply_failed,
            Closed: self._on_closed,
        }

    def _on_reply_ended(self, msg: ReplyEnded) -> Iterator[Message]:
        yield msg
        yield from self._close(msg.call_id, None, 200)

    def _on_reply_response(self, msg: ReplyResponse) -> Iterator[Message]:
        yield msg
        yield from self._close(msg.call_id, None, msg.status)

    def _on_reply_failed(self, msg: ReplyFailed) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        # An error kind that promises "not run" must hold for all attempts.
        if request is not None and request.n_runs:
            if ANSWERS[msg.kind].ran is Ran.NO:
                msg.kind = ErrorKind.OUTCOME_UNKNOWN
        yield msg
        yield from self._close(msg.call_id, msg.kind, ANSWERS[msg.kind].status)

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        # `Closed` ends here: it re-entered the chain at the head, so all filters have
        # seen it.
        yield from ()

    def _close(
        self, call_id: str, kind: ErrorKind | None, status: int
    ) -> Iterator[Message]:
        request = self._inflight.by_call(call_id)
        if request is None:
            return
        yield self._decision(request, kind, status)
        self._inflight.remove(request)
        yield Closed(request, kind)

    def _decision(
        self, request: Request, kind: ErrorKind | None, status: int
    ) -> Decision:
        attempt = request.attempt
        return Decision(
            "answered",
            request_id=request.request_id,
            reason=kind.value if kind is not None else "done",
            status=status,
            route=request.route.name,
            team=request.team,
            endpoint=attempt.endpoint if attempt is not None else "",
            seconds=round(self._clock.now() - request.arrived_at, 3),
            n_attempts=request.n_attempts,
            n_events=request.last_event,
            **_stream_times(request),
        )


def _stream_times(request: Request) -> dict[str, float]:
    if request.first_event_s is None:
        return {}
    return {
        "first_event_s": round(request.first_event_s, 3),
        "longest_gap_s": round(request.longest_gap_s, 3),
    }
