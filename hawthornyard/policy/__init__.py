"""Decide on routing, limits, order and retries, without any I/O."""

from .affinity import PrefixAffinity
from .bucket import TokenBucket
from .calibration import Calibration
from .fairqueue import FairQueue, Queue
from .lengths import (
    BackoffPredictor,
    LengthHistogram,
    LengthPredictor,
    LengthSource,
    prompt_tokens,
    quantile,
)
from .memory import ExpectedMemory, MemoryLimit, Occupant
from .pause import PauseDetector
from .portion import divide
from .rendezvous import rank, spread_subset
from .retry import RetryBudget
from .routing import Choice, RoutingPolicy, TwoChoices
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
    "TwoChoices",
    "divide",
    "rank",
    "spread_subset",
    "prompt_tokens",
    "quantile",
]
