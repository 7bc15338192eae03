"""Join the planner's filters in the order in which messages pass them."""

from collections.abc import Sequence

from ..core import Clock, Filter, RandomSource
from .demand import SituationSource
from .duty import Duty
from .follow import FollowPlan
from .lease import LONGEST_ORDER_S, HoldLease
from .make import PLAN_INTERVAL_S, MakePlan
from .place import PlacementPolicy


def planner_chain(
    duty: Duty,
    source: SituationSource,
    policy: PlacementPolicy,
    clock: Clock,
    chance: RandomSource,
    *,
    longest_order_s: float = LONGEST_ORDER_S,
    interval_s: float = PLAN_INTERVAL_S,
) -> Sequence[Filter]:
    """Return the filters of the planner's duty, head first.

    Args:
        duty: State that the filters share.
        source: Tells what to plan for.
        policy: Decides on plans.
        clock: Source of time.
        chance: Source of randomness.
        longest_order_s: How long an order of an earlier planner may take.
        interval_s: Seconds between plans.
    """
    return [
        HoldLease(duty, clock, chance, longest_order_s=longest_order_s),
        FollowPlan(duty),
        MakePlan(duty, source, policy, clock, interval_s=interval_s),
    ]
