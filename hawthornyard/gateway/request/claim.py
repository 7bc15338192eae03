"""Claim the idempotency key of a request that may run at most once."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...errors import ANSWERS, Ran
from ..inflight import InFlight
from ..messages import (
    ClaimAnswered,
    ClaimAsked,
    Claimed,
    ClaimSettled,
    Closed,
    Released,
    ReplyFailed,
    ReplyWhole,
    Request,
)


class Claim:
    """Ask the platform for a key before the first dispatch."""

    __slots__ = ("_inflight", "handlers")

    def __init__(self, inflight: InFlight) -> None:
        self._inflight = inflight
        self.handlers: Handlers = {
            Released: self._on_released,
            ClaimAnswered: self._on_answered,
            Closed: self._on_closed,
        }

    def _on_released(self, msg: Released) -> Iterator[Message]:
        request = msg.request
        if request.claimed or request.idempotent or not request.key:
            yield Claimed(request)
            return
        yield ClaimAsked(
            request.call_id, _row_key(request), request.call_id, request.digest
        )

    def _on_answered(self, msg: ClaimAnswered) -> Iterator[Message]:
        request = self._inflight.by_call(msg.call_id)
        if request is None:
            return
        yield Decision(
            "claim",
            request_id=request.request_id,
            reason=msg.kind.value if msg.kind else "claimed",
            replayed=msg.outcome is not None,
        )
        if msg.outcome is not None:
            yield _replay(request, msg.outcome)
            return
        if msg.kind is not None:
            yield ReplyFailed(request.call_id, msg.kind)
            return
        request.claimed = True
        yield Claimed(request)

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        request = msg.request
        if request.claimed:
            not_run = msg.kind is not None and ANSWERS[msg.kind].ran is Ran.NO
            yield ClaimSettled(
                _row_key(request),
                request.call_id,
                request.digest,
                not_run,
                msg.outcome,
            )
        yield msg


def _row_key(request: Request) -> str:
    return f"claim/{request.team.name}/{request.service.name}/{request.key}"


def _replay(request: Request, outcome: ReplyWhole) -> ReplyWhole:
    return ReplyWhole(
        request.call_id, outcome.status, outcome.headers, outcome.body, replayed=True
    )
