"""Dispatch each attempt to its sidecar exactly once."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Identifiers, Message
from ...errors import ErrorKind
from ...frames import Attach, Dispatch
from ...records import GENERATION, Service
from ..fleet import Fleet
from ..inflight import InFlight
from ..messages import (
    AttemptFailed,
    LinkRequested,
    ReconnectAuthenticated,
    ReplyFailed,
    ReplyStarted,
    Request,
    Routed,
)

DEFAULT_RESUME_TIMEOUT_S = 600.0
# Placeholder, because `Reconnect` does not name the generation's service.
_RESUMED_SERVICE = Service("resumed", GENERATION)


class SendAttempt:
    """Dispatch routed requests and attach reconnecting callers to their attempts.

    Args:
        inflight: Requests without a final reply.
        fleet: Counts the dispatched attempts of each endpoint.
        clock: Monotonic clock.
        identifiers: Source of attempt ids.
    """

    __slots__ = ("_clock", "_fleet", "_identifiers", "_inflight", "handlers")

    def __init__(
        self,
        inflight: InFlight,
        fleet: Fleet,
        clock: Clock,
        identifiers: Identifiers,
    ) -> None:
        self._inflight = inflight
        self._fleet = fleet
        self._clock = clock
        self._identifiers = identifiers
        self.handlers: Handlers = {
            Routed: self._on_routed,
            ReconnectAuthenticated: self._on_reconnect_authenticated,
        }

    def _on_routed(self, msg: Routed) -> Iterator[Message]:
        request = msg.request
        if self._inflight.by_call(request.call_id) is not request:
            return
        now = self._clock.now()
        # Only a resumed generation has no work, and it is never routed.
        if now >= request.deadline or request.work is None:
            yield AttemptFailed(request, ErrorKind.DEADLINE_EXCEEDED)
            return
        self._begin_attempt(request, msg.endpoint, self._identifiers.new())
        request.n_attempts += 1
        self._fleet.on_dispatched(msg.endpoint)
        yield ReplyStarted(request.call_id, msg.endpoint, request.attempt_id)
        yield Dispatch(
            request.attempt_id,
            request.request_id,
            request.team.name,
            request.service.name,
            request.work,
            request.idempotent,
            request.deadline - now,
        ).with_peer(msg.endpoint)

    def _on_reconnect_authenticated(
        self, msg: ReconnectAuthenticated
    ) -> Iterator[Message]:
        call = msg.call
        previous = self._inflight.by_attempt(call.attempt_id)
        if previous is not None:
            if previous.team.name != msg.team.name:
                yield ReplyFailed(call.call_id, ErrorKind.FORBIDDEN)
                return
            yield ReplyFailed(
                previous.call_id, ErrorKind.CANCELLED, "resumed by another connection"
            )
        timeout_s = call.timeout_s or DEFAULT_RESUME_TIMEOUT_S
        request = Request(
            call.call_id,
            call.request_id,
            None,
            msg.team,
            _RESUMED_SERVICE,
            idempotent=True,
            deadline=self._clock.now() + timeout_s,
        )
        request.resumed = True
        request.n_delivered = call.offset
        self._inflight.add(request)
        self._begin_attempt(request, call.endpoint, call.attempt_id)
        request.accepted = True
        if not self._fleet.is_live(call.endpoint):
            request.disconnected_at = self._clock.now()
            yield LinkRequested(call.endpoint)
        yield ReplyStarted(call.call_id, call.endpoint, call.attempt_id)
        yield Attach(call.attempt_id, msg.team.name, call.offset, True, 0.0).with_peer(
            call.endpoint
        )

    def _begin_attempt(self, request: Request, endpoint: str, attempt_id: str) -> None:
        self._inflight.begin_attempt(request, attempt_id)
        request.endpoint = endpoint
        request.incarnation = self._fleet.incarnation(endpoint)
        request.sent_at = self._clock.now()
