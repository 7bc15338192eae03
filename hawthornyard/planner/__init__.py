"""Place models on endpoints, in the one process that holds the planner's lease.

The whole plan is one row of the platform's table, next to the lease's row.
Endpoints with equal entries form one group, so the row holds little more than
the names of the endpoints: 8.5 KB for 600 endpoints and 12 models (docs/ORDERS.md).
"""

from .chain import planner_chain
from .draft import Draft, Move
from .follow import FollowPlan
from .lease import LONGEST_ORDER_S, HoldLease
from .make import PLAN_INTERVAL_S, MakePlan
from .messages import (
    PlanChanged,
    PlanTableOutcomeUnknown,
    PlanTableRead,
    PlanTableRefused,
    PlanTableWritten,
    ReadPlanTable,
    WritePlanTable,
)
from .opening_hours import Calendar, WeekTime, is_open
from .place import DEFAULT_WEIGHT_BYTES_PER_S, DemandDrivenPlacement, PlacementPolicy
from .plan import SERVING, SPARE, Lease, Plan
from .planner_input import Candidate, ModelNeed, PlannerInput, PlannerInputSource
from .state import LEASE_DURATION_S, PlannerState

__all__ = [
    "DEFAULT_WEIGHT_BYTES_PER_S",
    "LEASE_DURATION_S",
    "LONGEST_ORDER_S",
    "PLAN_INTERVAL_S",
    "SERVING",
    "SPARE",
    "ReadPlanTable",
    "Calendar",
    "Draft",
    "PlannerState",
    "DemandDrivenPlacement",
    "FollowPlan",
    "HoldLease",
    "Lease",
    "MakePlan",
    "ModelNeed",
    "Move",
    "PlacementPolicy",
    "Plan",
    "PlanChanged",
    "PlanTableRefused",
    "PlanTableRead",
    "PlanTableOutcomeUnknown",
    "PlanTableWritten",
    "Candidate",
    "PlannerInput",
    "PlannerInputSource",
    "WeekTime",
    "WritePlanTable",
    "is_open",
    "planner_chain",
]
