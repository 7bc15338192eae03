"""Make plans while this process holds the lease."""

from collections.abc import Iterator, Sequence

from ..core import Clock, Decision, Handlers, Message, Tick
from .draft import Move
from .messages import PlanTableWritten
from .place import PlacementPolicy
from .planner_input import PlannerInputSource
from .state import PlannerState

PLAN_INTERVAL_S = 5.0


class MakePlan:
    """A filter that drafts a plan at an interval and writes it if it has changes.

    Args:
        state: State shared with the other planner filters.
        source: Source of the endpoints and models to plan for.
        policy: Decides on plans.
        clock: Source of time.
        interval_s: Minimum seconds between two drafts.
    """

    __slots__ = (
        "_clock",
        "_interval_s",
        "_next_plan_at",
        "_pending_moves",
        "_policy",
        "_source",
        "_state",
        "handlers",
    )

    def __init__(
        self,
        state: PlannerState,
        source: PlannerInputSource,
        policy: PlacementPolicy,
        clock: Clock,
        *,
        interval_s: float = PLAN_INTERVAL_S,
    ) -> None:
        self._state = state
        self._source = source
        self._policy = policy
        self._clock = clock
        self._interval_s = interval_s
        self._next_plan_at = 0.0
        self._pending_moves: Sequence[Move] = ()
        self.handlers: Handlers = {
            Tick: self._on_tick,
            PlanTableWritten: self._on_plan_table_written,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._state.may_plan and self._clock.now() >= self._next_plan_at:
            self._next_plan_at = self._clock.now() + self._interval_s
            yield from self._plan()
        yield msg

    def _plan(self) -> Iterator[Message]:
        draft = self._policy.place(self._source.planner_input(), self._state.plan)
        if not draft.moves:
            return
        self._pending_moves = draft.moves
        yield self._state.prepare_write(draft.plan())

    def _on_plan_table_written(self, msg: PlanTableWritten) -> Iterator[Message]:
        pending_write = self._state.pending_write
        if pending_write is None or pending_write.plan is None:
            return
        for move in self._pending_moves:
            yield Decision(
                "place",
                reason=move.reason,
                endpoint=move.endpoint,
                before=list(move.before),
                after=list(move.after),
                plan=msg.revision,
            )
