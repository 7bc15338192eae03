"""Decide on routing, admission, queue order and retries, without I/O."""

from .admission import MAX_RETRY_AFTER_SHARE, ReturnTimes, UrgencyQueue, Waiting
from .affinity import PrefixAffinity
from .calibration import Calibration
from .crash_evidence import Crash, CrashEvidence
from .endpoint_view import EndpointView
from .fair_division import divide_fairly
from .fair_queue import FairQueue, Queue
from .forecast import (
    EngineLoad,
    ForecastError,
    RunningWork,
    WaitingWork,
    forecast_starts,
)
from .growing_timeout import GrowingTimeout
from .length_ratios import LengthRatios
from .lengths import (
    BackoffPredictor,
    LengthHistogram,
    LengthPredictor,
    LengthSource,
    estimate_prompt_tokens,
    length_quantile,
)
from .memory import ExpectedMemory, MemoryLimit, Occupant
from .pause import PauseDetector
from .prefill_turns import is_long, may_begin_long
from .recent_rate import RecentRate
from .recent_sizes import RecentSizes
from .rendezvous import rank_owners, spread_subset
from .retry import RetryBudget
from .routing import Choice, PowerOfTwoChoices, RoutingPolicy
from .slow_start import ConcurrencyLimit, SlowStart
from .token_bucket import TokenBucket

__all__ = [
    "MAX_RETRY_AFTER_SHARE",
    "BackoffPredictor",
    "Calibration",
    "Choice",
    "ConcurrencyLimit",
    "Crash",
    "CrashEvidence",
    "EndpointView",
    "EngineLoad",
    "ExpectedMemory",
    "FairQueue",
    "ForecastError",
    "GrowingTimeout",
    "LengthHistogram",
    "LengthPredictor",
    "LengthRatios",
    "LengthSource",
    "MemoryLimit",
    "Occupant",
    "PauseDetector",
    "PrefixAffinity",
    "Queue",
    "RecentRate",
    "RecentSizes",
    "RetryBudget",
    "ReturnTimes",
    "RoutingPolicy",
    "RunningWork",
    "SlowStart",
    "TokenBucket",
    "PowerOfTwoChoices",
    "UrgencyQueue",
    "Waiting",
    "WaitingWork",
    "divide_fairly",
    "forecast_starts",
    "is_long",
    "may_begin_long",
    "rank_owners",
    "spread_subset",
    "estimate_prompt_tokens",
    "length_quantile",
]
