"""Claim the idempotency key of a request that must run at most once."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...errors import ANSWERS, ErrorKind, Ran
from ..inflight import InFlight
from ..messages import (
    ClaimAnswered,
    ClaimRequested,
    ClaimSettled,
    Closed,
    Dequeued,
    ReplyFailed,
    ReplyResponse,
    Request,
    Routable,
)


class ClaimKey:
    """Claim a non-idempotent request's key in the table before the first dispatch.

    Requests that are idempotent or have no key pass without a claim.

    Args:
        inflight: Requests without a final reply.
        clock: Monotonic clock.
    """

    __slots__ = ("_clock", "_inflight", "_pending", "handlers")

    def __init__(self, inflight: InFlight, clock: Clock) -> None:
        self._inflight = inflight
        self._clock = clock
        self._pending: dict[str, Request] = {}
        self.handlers: Handlers = {
            Dequeued: self._on_dequeued,
            ClaimAnswered: self._on_claim_answered,
            Closed: self._on_closed,
            Tick: self._on_tick,
        }

    def _on_dequeued(self, msg: Dequeued) -> Iterator[Message]:
        request = msg.request
        if request.claimed or request.idempotent or not request.key:
            yield Routable(request)
            return
        self._pending[request.call_id] = request
        yield ClaimRequested(
            request.call_id,
            _row_key(request),
            request.call_id,
            request.digest,
            request.deadline - self._clock.now(),
        )

    def _on_claim_answered(self, msg: ClaimAnswered) -> Iterator[Message]:
        request = self._pending.pop(msg.call_id, None)
        if request is None:
            return
        yield Decision(
            "claim",
            request_id=request.request_id,
            reason=msg.kind.value if msg.kind else "claimed",
            replayed=msg.outcome is not None,
        )
        is_waiting = self._inflight.by_call(msg.call_id) is request
        if msg.outcome is not None or msg.kind is not None:
            yield from self._answer_unclaimed(request, msg, is_waiting)
            return
        request.claimed = True
        if not is_waiting:
            yield _settlement(request, not_run=True)
            return
        yield Routable(request)

    def _answer_unclaimed(
        self, request: Request, msg: ClaimAnswered, is_waiting: bool
    ) -> Iterator[Message]:
        # The reply of the table service is lost, but its write of the claim may have
        # succeeded or may still succeed.
        if msg.kind is ErrorKind.PLATFORM_UNAVAILABLE:
            yield _settlement(request, not_run=True)
        if not is_waiting:
            return
        if msg.outcome is not None:
            yield _replay(request, msg.outcome)
        elif msg.kind is not None:
            yield ReplyFailed(request.call_id, msg.kind)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for request in list(self._pending.values()):
            if msg.now < request.deadline:
                continue
            if self._inflight.by_call(request.call_id) is request:
                yield ReplyFailed(request.call_id, ErrorKind.DEADLINE_EXCEEDED)
        yield msg

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        request = msg.request
        if request.claimed:
            yield _settlement(request, not_run=_is_not_run(msg), outcome=msg.outcome)
        yield msg


def _is_not_run(msg: Closed) -> bool:
    if msg.kind is None:
        return False
    # A non-idempotent request without a current attempt was refused or never sent.
    return not msg.request.attempt_id or ANSWERS[msg.kind].ran is Ran.NO


def _settlement(
    request: Request, *, not_run: bool, outcome: ReplyResponse | None = None
) -> ClaimSettled:
    return ClaimSettled(
        _row_key(request), request.call_id, request.digest, not_run, outcome
    )


def _row_key(request: Request) -> str:
    return f"claim/{request.team.name}/{request.service.name}/{request.key}"


def _replay(request: Request, outcome: ReplyResponse) -> ReplyResponse:
    return ReplyResponse(
        request.call_id, outcome.status, outcome.headers, outcome.body, replayed=True
    )
