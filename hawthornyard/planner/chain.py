"""Build the chain of the planner's filters."""

from collections.abc import Sequence

from ..core import Clock, Filter, RandomSource
from .follow import FollowPlan
from .lease import LONGEST_ORDER_S, HoldLease
from .make import PLAN_INTERVAL_S, MakePlan
from .place import PlacementPolicy
from .planner_input import PlannerInputSource
from .state import PlannerState


def planner_chain(
    state: PlannerState,
    source: PlannerInputSource,
    policy: PlacementPolicy,
    clock: Clock,
    random_source: RandomSource,
    *,
    longest_order_s: float = LONGEST_ORDER_S,
    interval_s: float = PLAN_INTERVAL_S,
) -> Sequence[Filter]:
    """Return the planner's filters in the order in which messages pass them.

    Args:
        state: State that the filters share.
        source: Source of the endpoints and models to plan for.
        policy: Decides on plans.
        clock: Source of time.
        random_source: Source of randomness.
        longest_order_s: Upper bound in seconds on an order of an earlier planner.
        interval_s: Seconds between plans.
    """
    return [
        HoldLease(state, clock, random_source, longest_order_s=longest_order_s),
        FollowPlan(state),
        MakePlan(state, source, policy, clock, interval_s=interval_s),
    ]
