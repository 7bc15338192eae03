"""Decide whether a failed attempt is followed by another."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ...errors import ErrorKind
from ...policy import RetryBudget
from ..inflight import InFlight
from ..messages import Admitted, AttemptFailed, Closed, ReplyFailed

MAX_ATTEMPTS = 4
# Refusals of a planned stop are few, and must cut no request off.
_PLANNED_REFUSALS = frozenset({ErrorKind.DRAINING, ErrorKind.DOMAIN_OUT})


class Retry:
    """Send requests back to the queue while budget and deadline allow.

    Args:
        inflight: Requests that are not answered yet.
        budget: Bounds the retries.
        clock: Source of time.
    """

    __slots__ = ("_budget", "_clock", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, budget: RetryBudget, clock: Clock) -> None:
        self._inflight = inflight
        self._budget = budget
        self._clock = clock
        self.handlers: Handlers = {
            AttemptFailed: self._on_failed,
            Closed: self._on_closed,
        }

    def _on_failed(self, msg: AttemptFailed) -> Iterator[Message]:
        request = msg.request
        if self._inflight.by_call(request.call_id) is not request:
            return
        refusal = self._refusal(msg)
        yield Decision(
            "retry",
            request_id=request.request_id,
            reason=refusal.value if refusal else msg.kind.value,
            retried=refusal is None,
            n_attempts=request.n_attempts,
        )
        if refusal is not None:
            yield ReplyFailed(msg.call_id, refusal, msg.detail)
            return
        yield Admitted(request)

    def _refusal(self, msg: AttemptFailed) -> ErrorKind | None:
        request = msg.request
        if self._clock.now() >= request.deadline:
            return ErrorKind.DEADLINE_EXCEEDED
        if request.n_attempts >= MAX_ATTEMPTS:
            return msg.kind
        if msg.kind not in _PLANNED_REFUSALS and not self._budget.take():
            return msg.kind
        return None

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        if msg.kind is None:
            self._budget.on_success()
        yield msg
