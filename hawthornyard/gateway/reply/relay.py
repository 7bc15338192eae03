"""Relay an attempt's output to its caller, in order and once."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, PeerDown, PeerUp, Tick
from ...errors import ErrorKind
from ...frames import (
    Accepted,
    Ack,
    Attach,
    AttemptUnknown,
    Cancel,
    Ended,
    Failed,
    Refused,
    Replied,
    Tokens,
)
from ..fleet import Fleet
from ..inflight import InFlight
from ..messages import (
    AttemptFailed,
    CallerGone,
    ReplyEnded,
    ReplyFailed,
    ReplyTokens,
    ReplyWhole,
    Request,
)

ATTACH_TIMEOUT_S = 6.0
ACK_EVERY_TOKENS = 32


class Relay:
    """Match frames to requests by attempt id; discard all others.

    Args:
        inflight: Requests that wait for frames.
        fleet: Told of attempts that ended.
        clock: Source of time.
        attach_timeout_s: How long a lost connection may take to come back.
    """

    __slots__ = ("_attach_timeout_s", "_clock", "_fleet", "_inflight", "handlers")

    def __init__(
        self,
        inflight: InFlight,
        fleet: Fleet,
        clock: Clock,
        *,
        attach_timeout_s: float = ATTACH_TIMEOUT_S,
    ) -> None:
        self._inflight = inflight
        self._fleet = fleet
        self._clock = clock
        self._attach_timeout_s = attach_timeout_s
        self.handlers: Handlers = {
            Accepted: self._on_accepted,
            Refused: self._on_refused,
            Tokens: self._on_tokens,
            Ended: self._on_ended,
            Replied: self._on_replied,
            Failed: self._on_failed,
            AttemptUnknown: self._on_unknown,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
            CallerGone: self._on_caller_gone,
            Tick: self._on_tick,
        }

    def _on_accepted(self, msg: Accepted) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is not None:
            request.accepted = True
        yield from ()

    def _on_refused(self, msg: Refused) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        kind = ErrorKind(msg.kind)
        if request.resumed:
            yield self._fail(request, kind, msg.detail)
            return
        yield self._again(request, kind, msg.detail)

    def _on_tokens(self, msg: Tokens) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if msg.offset > request.n_delivered:
            yield self._attach(request)
            return
        fresh = msg.texts[request.n_delivered - msg.offset :]
        if not fresh:
            return
        yield ReplyTokens(
            request.call_id,
            request.endpoint,
            request.attempt_id,
            request.n_delivered,
            fresh,
        )
        before = request.n_delivered
        request.n_delivered += len(fresh)
        if request.n_delivered // ACK_EVERY_TOKENS > before // ACK_EVERY_TOKENS:
            yield Ack(msg.attempt_id, request.n_delivered).with_peer(request.endpoint)

    def _on_ended(self, msg: Ended) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if msg.n_tokens > request.n_delivered:
            yield self._attach(request)
            return
        yield Ack(msg.attempt_id, msg.n_tokens).with_peer(request.endpoint)
        yield ReplyEnded(request.call_id, msg.n_tokens, msg.reason, msg.n_prompt_tokens)

    def _on_replied(self, msg: Replied) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        yield Ack(msg.attempt_id, 0).with_peer(request.endpoint)
        yield ReplyWhole(request.call_id, msg.status, msg.headers, msg.body)

    def _on_failed(self, msg: Failed) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        yield Ack(msg.attempt_id, request.n_delivered).with_peer(request.endpoint)
        if request.may_rerun:
            request.may_have_run = True
            yield self._again(request, ErrorKind(msg.kind), msg.detail)
            return
        yield self._fail(request, ErrorKind(msg.kind), msg.detail)

    def _on_unknown(self, msg: AttemptUnknown) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if request.resumed:
            yield self._fail(request, ErrorKind.UNKNOWN_GENERATION)
            return
        if msg.never_run and msg.incarnation == request.incarnation:
            yield self._again(request, ErrorKind.NO_ENDPOINT, "the dispatch was lost")
            return
        yield self._lose(request, "the sidecar holds the attempt no longer")

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        for request in self._at(msg.peer):
            request.detached_at = None
            yield self._attach(request)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        now = self._clock.now()
        for request in self._at(msg.peer):
            request.detached_at = now
        yield msg

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is None:
            return
        # A non-idempotent call goes on, so that its outcome is recorded.
        if not request.idempotent and request.attempt_id:
            return
        # An attempt that another exchange reads by now is still wanted.
        if self._inflight.by_attempt(request.attempt_id) is request:
            # Without a token the caller has no event id to come back with.
            now = request.n_delivered == 0
            yield Cancel(request.attempt_id, is_immediate=now).with_peer(
                request.endpoint
            )
        yield ReplyFailed(msg.call_id, ErrorKind.CANCELLED)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for request in self._inflight:
            if not request.attempt_id:
                continue
            if msg.now >= request.deadline:
                yield from self._expire(request)
            elif self._is_lost(request, msg.now):
                yield self._lose(request, "the connection did not come back")
        yield msg

    def _is_lost(self, request: Request, now: float) -> bool:
        if request.detached_at is None:
            return False
        return now - request.detached_at > self._attach_timeout_s

    def _expire(self, request: Request) -> Iterator[Message]:
        yield Cancel(request.attempt_id, is_immediate=True).with_peer(request.endpoint)
        if not request.idempotent:
            yield self._fail(request, ErrorKind.OUTCOME_UNKNOWN, "deadline passed")
            return
        yield self._fail(request, ErrorKind.DEADLINE_AFTER_START)

    def _lose(self, request: Request, detail: str) -> Message:
        if request.may_rerun:
            request.may_have_run = True
            return self._again(request, ErrorKind.ENDPOINT_FAILED, detail)
        if request.idempotent:
            return self._fail(request, ErrorKind.GENERATION_LOST, detail)
        return self._fail(request, ErrorKind.OUTCOME_UNKNOWN, detail)

    def _again(self, request: Request, kind: ErrorKind, detail: str) -> Message:
        request.excluded.add(request.endpoint)
        self._fleet.on_ended(request.endpoint)
        self._inflight.end_attempt(request)
        return AttemptFailed(request, kind, detail)

    def _fail(self, request: Request, kind: ErrorKind, detail: str = "") -> Message:
        return ReplyFailed(request.call_id, kind, detail, request.n_delivered)

    def _at(self, endpoint: str) -> Iterator[Request]:
        for request in self._inflight:
            if request.attempt_id and request.endpoint == endpoint:
                yield request

    def _attach(self, request: Request) -> Message:
        return Attach(
            request.attempt_id,
            request.team.name,
            request.n_delivered,
            request.resumed,
            self._clock.now() - request.sent_at,
        ).with_peer(request.endpoint)
