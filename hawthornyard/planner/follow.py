"""Adopt newer plans in this process."""

from collections.abc import Iterator

from ..core import Handlers, Message
from .messages import PlanChanged, PlanTableRead, PlanTableWritten
from .plan import Plan
from .state import PlannerState


class FollowPlan:
    """A filter that adopts plans with a higher revision, read or written.

    While the table is down the last plan stays in force.

    Args:
        state: State shared with the other planner filters.
    """

    __slots__ = ("_state", "handlers")

    def __init__(self, state: PlannerState) -> None:
        self._state = state
        self.handlers: Handlers = {
            PlanTableRead: self._on_plan_table_read,
            PlanTableWritten: self._on_plan_table_written,
        }

    def _on_plan_table_read(self, msg: PlanTableRead) -> Iterator[Message]:
        if msg.plan is not None:
            yield from self._adopt(msg.plan)

    def _on_plan_table_written(self, msg: PlanTableWritten) -> Iterator[Message]:
        pending_write = self._state.pending_write
        if pending_write is not None and pending_write.plan is not None:
            yield from self._adopt(Plan(msg.revision, pending_write.plan.entries))
        yield msg

    def _adopt(self, plan: Plan) -> Iterator[Message]:
        if plan.revision <= self._state.plan_revision:
            return
        self._state.plan = plan
        yield PlanChanged(plan)
