"""End requests whose deadline has passed."""

from collections.abc import Iterator

from ...core import Handlers, Message, Tick
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..endpoints import Endpoints
from ..inflight import InFlight
from ..messages import Cancel, Request


class Expire:
    """Filter that cancels and answers requests at their deadline.

    Args:
        inflight: Requests that are not answered yet.
        endpoints: Known endpoints, which record that they did not answer.
    """

    __slots__ = ("_endpoints", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, endpoints: Endpoints) -> None:
        self._inflight = inflight
        self._endpoints = endpoints
        self.handlers: Handlers = {Tick: self._on_tick}

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for request in self._inflight:
            if msg.now >= request.deadline:
                yield from self._expire(request)

    def _expire(self, request: Request) -> Iterator[Message]:
        kind = ErrorKind.OVERLOADED
        if request.attempt is not None:
            endpoint = self._endpoints.get(request.attempt.endpoint)
            if endpoint is not None and not request.has_begun:
                endpoint.note_outcome(failed=True)
            yield Cancel(request.attempt.attempt_id)
            kind = ErrorKind.DEADLINE_AFTER_START
        elif request.n_runs:
            kind = ErrorKind.DEADLINE_AFTER_START
        detail = "the deadline passed"
        yield ReplyFailed(request.call_id, kind, detail, request.last_event)
