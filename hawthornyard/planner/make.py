"""Make plans while this process holds the lease."""

from collections.abc import Iterator, Sequence

from ..core import Clock, Decision, Handlers, Message, Tick
from .demand import SituationSource
from .draft import Move
from .duty import Duty
from .messages import PlanTableWritten
from .place import PlacementPolicy

PLAN_INTERVAL_S = 5.0


class MakePlan:
    """Decide on a plan at an interval and write it if it changed.

    Args:
        duty: State shared with the other planner filters.
        source: Tells what to plan for.
        policy: Decides.
        clock: Source of time.
        interval_s: Seconds between decisions.
    """

    __slots__ = (
        "_clock",
        "_due_at",
        "_duty",
        "_interval_s",
        "_moves",
        "_policy",
        "_source",
        "handlers",
    )

    def __init__(
        self,
        duty: Duty,
        source: SituationSource,
        policy: PlacementPolicy,
        clock: Clock,
        *,
        interval_s: float = PLAN_INTERVAL_S,
    ) -> None:
        self._duty = duty
        self._source = source
        self._policy = policy
        self._clock = clock
        self._interval_s = interval_s
        self._due_at = 0.0
        self._moves: Sequence[Move] = ()
        self.handlers: Handlers = {
            Tick: self._on_tick,
            PlanTableWritten: self._on_written,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._duty.may_plan and self._clock.now() >= self._due_at:
            self._due_at = self._clock.now() + self._interval_s
            yield from self._plan()
        yield msg

    def _plan(self) -> Iterator[Message]:
        draft = self._policy.place(self._source.situation(), self._duty.plan)
        if not draft.moves:
            return
        self._moves = draft.moves
        yield self._duty.write(draft.plan())

    def _on_written(self, msg: PlanTableWritten) -> Iterator[Message]:
        pending = self._duty.pending
        if pending is None or pending.plan is None:
            return
        for move in self._moves:
            yield Decision(
                "place",
                reason=move.reason,
                endpoint=move.endpoint,
                before=list(move.before),
                after=list(move.after),
                plan=msg.revision,
            )
