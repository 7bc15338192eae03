"""End requests whose deadline has passed."""

from collections.abc import Iterator

from ...core import Handlers, Message, Tick
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..inflight import InFlight
from ..messages import Cancel, Request


class Expire:
    """Cancel and answer what is not done in time."""

    __slots__ = ("_inflight", "handlers")

    def __init__(self, inflight: InFlight) -> None:
        self._inflight = inflight
        self.handlers: Handlers = {Tick: self._on_tick}

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for request in self._inflight:
            if msg.now >= request.deadline:
                yield from self._expire(request)

    def _expire(self, request: Request) -> Iterator[Message]:
        kind = ErrorKind.OVERLOADED
        if request.attempt is not None:
            yield Cancel(request.attempt.attempt_id)
            kind = ErrorKind.DEADLINE_AFTER_START
        elif request.n_runs:
            kind = ErrorKind.DEADLINE_AFTER_START
        detail = "the deadline passed"
        yield ReplyFailed(request.call_id, kind, detail, request.last_event)
