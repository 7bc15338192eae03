"""Relay an attempt's output to its caller, in order and without duplicates."""

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
    ReplyResponse,
    ReplyTokens,
    Request,
)

RECONNECT_TIMEOUT_S = 6.0
ACK_INTERVAL_TOKENS = 32


class Relay:
    """Match frames to requests by attempt id and discard frames of other attempts.

    Args:
        inflight: Requests without a final reply.
        fleet: Counts the ended attempts of each endpoint.
        clock: Monotonic clock.
        reconnect_timeout_s: Seconds that a lost sidecar connection has to recover.
    """

    __slots__ = ("_clock", "_fleet", "_inflight", "_reconnect_timeout_s", "handlers")

    def __init__(
        self,
        inflight: InFlight,
        fleet: Fleet,
        clock: Clock,
        *,
        reconnect_timeout_s: float = RECONNECT_TIMEOUT_S,
    ) -> None:
        self._inflight = inflight
        self._fleet = fleet
        self._clock = clock
        self._reconnect_timeout_s = reconnect_timeout_s
        self.handlers: Handlers = {
            Accepted: self._on_accepted,
            Refused: self._on_refused,
            Tokens: self._on_tokens,
            Ended: self._on_ended,
            Replied: self._on_replied,
            Failed: self._on_failed,
            AttemptUnknown: self._on_attempt_unknown,
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
            yield self._fail_request(request, kind, msg.detail)
            return
        yield self._fail_attempt(request, kind, msg.detail)

    def _on_tokens(self, msg: Tokens) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if msg.offset > request.n_delivered:
            # Earlier tokens are missing: ask the sidecar to send them again.
            yield self._attach_frame(request)
            return
        new_texts = msg.texts[request.n_delivered - msg.offset :]
        if not new_texts:
            return
        yield ReplyTokens(
            request.call_id,
            request.endpoint,
            request.attempt_id,
            request.n_delivered,
            new_texts,
        )
        before = request.n_delivered
        request.n_delivered += len(new_texts)
        if request.n_delivered // ACK_INTERVAL_TOKENS > before // ACK_INTERVAL_TOKENS:
            yield Ack(msg.attempt_id, request.n_delivered).with_peer(request.endpoint)

    def _on_ended(self, msg: Ended) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if msg.n_tokens > request.n_delivered:
            yield self._attach_frame(request)
            return
        yield Ack(msg.attempt_id, msg.n_tokens).with_peer(request.endpoint)
        yield ReplyEnded(request.call_id, msg.n_tokens, msg.reason, msg.n_prompt_tokens)

    def _on_replied(self, msg: Replied) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        yield Ack(msg.attempt_id, 0).with_peer(request.endpoint)
        yield ReplyResponse(request.call_id, msg.status, msg.headers, msg.body)

    def _on_failed(self, msg: Failed) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        yield Ack(msg.attempt_id, request.n_delivered).with_peer(request.endpoint)
        if request.may_rerun:
            request.may_have_run = True
            yield self._fail_attempt(request, ErrorKind(msg.kind), msg.detail)
            return
        yield self._fail_request(request, ErrorKind(msg.kind), msg.detail)

    def _on_attempt_unknown(self, msg: AttemptUnknown) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is None:
            return
        if request.resumed:
            yield self._fail_request(request, ErrorKind.UNKNOWN_GENERATION)
            return
        if msg.never_run and msg.incarnation == request.incarnation:
            yield self._fail_attempt(
                request, ErrorKind.NO_ENDPOINT, "the dispatch frame was lost"
            )
            return
        yield self._fail_lost_attempt(request, "the sidecar no longer has the attempt")

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        for request in self._requests_at(msg.peer):
            request.disconnected_at = None
            yield self._attach_frame(request)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        now = self._clock.now()
        for request in self._requests_at(msg.peer):
            request.disconnected_at = now
        yield msg

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is None:
            return
        # A non-idempotent call continues, so that its outcome is recorded.
        if not request.idempotent and request.attempt_id:
            return
        # Do not cancel an attempt that another HTTP exchange has taken over.
        if self._inflight.by_attempt(request.attempt_id) is request:
            # A caller that received no token has no event id to resume from.
            is_immediate = request.n_delivered == 0
            yield Cancel(request.attempt_id, is_immediate=is_immediate).with_peer(
                request.endpoint
            )
        yield ReplyFailed(msg.call_id, ErrorKind.CANCELLED)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for request in self._inflight:
            if not request.attempt_id:
                continue
            if msg.now >= request.deadline:
                yield from self._fail_expired(request)
            elif self._is_reconnect_overdue(request, msg.now):
                yield self._fail_lost_attempt(
                    request, "the connection to the sidecar was not restored"
                )
        yield msg

    def _is_reconnect_overdue(self, request: Request, now: float) -> bool:
        if request.disconnected_at is None:
            return False
        return now - request.disconnected_at > self._reconnect_timeout_s

    def _fail_expired(self, request: Request) -> Iterator[Message]:
        yield Cancel(request.attempt_id, is_immediate=True).with_peer(request.endpoint)
        if not request.idempotent:
            yield self._fail_request(
                request, ErrorKind.OUTCOME_UNKNOWN, "the deadline passed"
            )
            return
        yield self._fail_request(request, ErrorKind.DEADLINE_AFTER_START)

    def _fail_lost_attempt(self, request: Request, detail: str) -> Message:
        if request.may_rerun:
            request.may_have_run = True
            return self._fail_attempt(request, ErrorKind.ENDPOINT_FAILED, detail)
        if request.idempotent:
            return self._fail_request(request, ErrorKind.GENERATION_LOST, detail)
        return self._fail_request(request, ErrorKind.OUTCOME_UNKNOWN, detail)

    def _fail_attempt(self, request: Request, kind: ErrorKind, detail: str) -> Message:
        request.excluded.add(request.endpoint)
        self._fleet.on_ended(request.endpoint)
        self._inflight.end_attempt(request)
        return AttemptFailed(request, kind, detail)

    def _fail_request(
        self, request: Request, kind: ErrorKind, detail: str = ""
    ) -> Message:
        return ReplyFailed(request.call_id, kind, detail, request.n_delivered)

    def _requests_at(self, endpoint: str) -> Iterator[Request]:
        for request in self._inflight:
            if request.attempt_id and request.endpoint == endpoint:
                yield request

    def _attach_frame(self, request: Request) -> Message:
        return Attach(
            request.attempt_id,
            request.team.name,
            request.n_delivered,
            request.resumed,
            self._clock.now() - request.sent_at,
        ).with_peer(request.endpoint)
