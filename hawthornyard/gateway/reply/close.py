"""Close a request after its final reply."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...errors import ANSWERS, ErrorKind, Ran
from ..fleet import Fleet
from ..inflight import InFlight
from ..messages import Closed, ReplyEnded, ReplyFailed, ReplyResponse

# Errors that state that the request did not run, and their replacements for a
# request with an earlier attempt that may have run.
_KIND_IF_MAY_HAVE_RUN = {
    kind: ErrorKind.OUTCOME_UNKNOWN
    for kind, answer in ANSWERS.items()
    if answer.ran is Ran.NO
}
_KIND_IF_MAY_HAVE_RUN[ErrorKind.DEADLINE_EXCEEDED] = ErrorKind.DEADLINE_AFTER_START


class CloseRequests:
    """Emit `Closed` after the final reply, exactly once per request.

    Args:
        inflight: Requests without a final reply.
        fleet: Records how long attempts took at each endpoint.
        clock: Monotonic clock.
    """

    __slots__ = ("_clock", "_fleet", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, fleet: Fleet, clock: Clock) -> None:
        self._inflight = inflight
        self._fleet = fleet
        self._clock = clock
        self.handlers: Handlers = {
            ReplyEnded: self._on_reply_ended,
            ReplyResponse: self._on_reply_response,
            ReplyFailed: self._on_reply_failed,
            Closed: self._on_closed,
        }

    def _on_reply_ended(self, msg: ReplyEnded) -> Iterator[Message]:
        yield msg
        yield from self._close(msg.call_id, None, None)

    def _on_reply_response(self, msg: ReplyResponse) -> Iterator[Message]:
        yield msg
        yield from self._close(msg.call_id, None, msg)

    def _on_reply_failed(self, msg: ReplyFailed) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is not None and request.may_have_run:
            msg.kind = _KIND_IF_MAY_HAVE_RUN.get(msg.kind, msg.kind)
        yield msg
        yield from self._close(msg.call_id, msg.kind, None)

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        # Fed back from the end of the pipeline: every filter has handled it.
        yield from ()

    def _close(
        self, call_id: str, kind: ErrorKind | None, outcome: ReplyResponse | None
    ) -> Iterator[Message]:
        request = self._inflight.by_call(call_id)
        if request is None:
            return
        if request.attempt_id and not request.resumed:
            self._fleet.on_ended(request.endpoint)
            if kind is None:
                seconds = self._clock.now() - request.sent_at
                self._fleet.on_finished(request.endpoint, seconds, request.n_delivered)
        self._inflight.remove(request)
        yield Closed(request, kind, outcome)
