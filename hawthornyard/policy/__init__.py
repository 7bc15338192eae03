"""Decide on routing, limits, order and retries, without any I/O."""

from .bucket import TokenBucket
from .fairqueue import FairQueue, Queue
from .portion import divide
from .rendezvous import rank, spread_subset
from .retry import RetryBudget
from .routing import Choice, RoutingPolicy, TwoChoices
from .slowstart import ConcurrencyLimit, SlowStart
from .view import EndpointView

__all__ = [
    "Choice",
    "ConcurrencyLimit",
    "EndpointView",
    "FairQueue",
    "Queue",
    "RetryBudget",
    "RoutingPolicy",
    "SlowStart",
    "TokenBucket",
    "TwoChoices",
    "divide",
    "rank",
    "spread_subset",
]
