"""Refuse what a stopping gateway can't finish."""

from collections.abc import Iterator

from ...core import Handlers, Message, StopRequested
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..grace import GracePeriod
from ..messages import Closed, Matched, Request


class RefuseUnfinishable:
    """Filter that refuses requests that the stop would cut off.

    Requests that wait for capacity are looked at again by `WaitForCapacity`.

    Args:
        grace: Tells which requests can end before the process is killed.
    """

    __slots__ = ("_grace", "handlers")

    def __init__(self, grace: GracePeriod) -> None:
        self._grace = grace
        self.handlers: Handlers = {
            Closed: self._on_closed,
            StopRequested: self._on_stop_requested,
            Matched: self._on_matched,
        }

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        if msg.kind is None:
            self._grace.note_end(msg.request)
        yield msg

    def _on_stop_requested(self, msg: StopRequested) -> Iterator[Message]:
        self._grace.begin()
        yield msg

    def _on_matched(self, msg: Matched) -> Iterator[Message]:
        if self._grace.has_time_for(msg.request):
            yield msg
            return
        yield refusal(msg.request, self._grace)


def refusal(request: Request, grace: GracePeriod) -> ReplyFailed:
    """Return the refusal of a request that can't end before the process is killed."""
    return ReplyFailed(
        request.call_id,
        ErrorKind.DRAINING,
        "the process stops before the request is expected to end",
        retry_after_s=round(grace.retry_after_s, 2),
    )
