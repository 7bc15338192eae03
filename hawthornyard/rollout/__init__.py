"""Decide on rollouts of a service version, without I/O.

An order moves the traffic of a service to another version. `decide` compares both
versions and says what the holder of the rollout does next; `Exposure` bounds what one
gateway sends to the new version.
"""

from .evidence import MAX_PERIODS, Evidence, Period, period_length_s
from .exposure import BONUS_SHARE, Exposure, choose_tested
from .order import RolloutOrder, find_duration_fault, find_fault
from .state import Phase, RolloutState
from .steps import Step, decide, describe_wait, share_of
from .tally import Tally
from .verdict import FINAL, RUNNING, Strictness, Verdict, judge

__all__ = [
    "BONUS_SHARE",
    "FINAL",
    "MAX_PERIODS",
    "RUNNING",
    "Evidence",
    "Exposure",
    "Period",
    "Phase",
    "RolloutOrder",
    "RolloutState",
    "Step",
    "Strictness",
    "Tally",
    "Verdict",
    "choose_tested",
    "decide",
    "describe_wait",
    "find_duration_fault",
    "find_fault",
    "judge",
    "period_length_s",
    "share_of",
]
