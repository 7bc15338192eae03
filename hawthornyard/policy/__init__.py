"""Decide on routing, admission, queue order and retries, without I/O."""

from .affinity import PrefixAffinity
from .bucket import TokenBucket
from .calibration import Calibration
from .fairqueue import FairQueue, Queue
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
from .portion import divide_fairly
from .rendezvous import rank_owners, spread_subset
from .retry import RetryBudget
from .routing import Choice, PowerOfTwoChoices, RoutingPolicy
from .slowstart import ConcurrencyLimit, SlowStart
from .view import EndpointView

__all__ = [
    "BackoffPredictor",
    "Calibration",
    "Choice",
    "ConcurrencyLimit",
    "EndpointView",
    "ExpectedMemory",
    "FairQueue",
    "LengthHistogram",
    "LengthPredictor",
    "LengthSource",
    "MemoryLimit",
    "Occupant",
    "PauseDetector",
    "PrefixAffinity",
    "Queue",
    "RetryBudget",
    "RoutingPolicy",
    "SlowStart",
    "TokenBucket",
    "PowerOfTwoChoices",
    "divide_fairly",
    "rank_owners",
    "spread_subset",
    "estimate_prompt_tokens",
    "length_quantile",
]
