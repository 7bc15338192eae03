"""Decide whether failed attempts are retried."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ...errors import ANSWERS, Ran
from ...gateway.messages import ReplyFailed
from ..inflight import InFlight
from ..messages import AttemptFailed, Matched
from ..retry_budget import SharedRetryBudget

# Limit on all attempts of a request, refused ones included: those cost no run, but
# each is an arrival at an endpoint.
MAX_SENDS = 4


class Retry:
    """Filter that requeues failed requests while rules, budget and deadline allow.

    Args:
        inflight: Requests that are not answered yet.
        budget: Limits the retries of each service.
        clock: Source of time.
    """

    __slots__ = ("_budget", "_clock", "_inflight", "handlers")

    def __init__(
        self, inflight: InFlight, budget: SharedRetryBudget, clock: Clock
    ) -> None:
        self._inflight = inflight
        self._budget = budget
        self._clock = clock
        self.handlers: Handlers = {
            Matched: self._on_matched,
            AttemptFailed: self._on_attempt_failed,
        }

    def _on_matched(self, msg: Matched) -> Iterator[Message]:
        self._budget.note_request(msg.request.service)
        yield msg

    def _on_attempt_failed(self, msg: AttemptFailed) -> Iterator[Message]:
        request = msg.request
        if self._inflight.by_call(request.call_id) is not request:
            return
        denial = self._denial(msg)
        yield Decision(
            "retry",
            request_id=request.request_id,
            reason=denial or msg.kind.value,
            retried=not denial,
            n_attempts=request.n_attempts,
            detail=msg.detail,
        )
        if not denial:
            yield Matched(request)
            return
        if msg.reply is not None:
            yield msg.reply
            return
        yield ReplyFailed(request.call_id, msg.kind, msg.detail, request.last_event)

    def _denial(self, msg: AttemptFailed) -> str:
        # Empty if the retry is allowed, which spends one from the budget.
        request = msg.request
        if self._clock.now() >= request.deadline:
            return "deadline"
        if request.is_suspect:
            return "its endpoint ended as its answer began"
        may_have_run = request.n_runs > 0 or ANSWERS[msg.kind].ran is not Ran.NO
        if may_have_run and not request.may_rerun:
            return "may have run"
        if request.n_attempts >= MAX_SENDS:
            return "attempts"
        if not self._budget.take(request.service):
            return "budget"
        return ""
