"""Decide whether to retry a failed attempt."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ...errors import ErrorKind
from ...policy import RetryBudget
from ..inflight import InFlight
from ..messages import Admitted, AttemptFailed, Closed, ReplyFailed

MAX_ATTEMPTS = 4
# Refusals during planned stops are few and must not fail a request, so retries
# after them bypass the retry budget.
_PLANNED_REFUSALS = frozenset({ErrorKind.DRAINING, ErrorKind.DOMAIN_OUT})


class Retry:
    """Requeue requests while deadline, attempt limit and retry budget allow.

    Args:
        inflight: Requests without a final reply.
        budget: Limits retries to a share of recent successes.
        clock: Monotonic clock.
    """

    __slots__ = ("_budget", "_clock", "_inflight", "handlers")

    def __init__(self, inflight: InFlight, budget: RetryBudget, clock: Clock) -> None:
        self._inflight = inflight
        self._budget = budget
        self._clock = clock
        self.handlers: Handlers = {
            AttemptFailed: self._on_attempt_failed,
            Closed: self._on_closed,
        }

    def _on_attempt_failed(self, msg: AttemptFailed) -> Iterator[Message]:
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
