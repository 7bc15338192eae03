"""Carry a call from the caller to an endpoint.

The chain is Match, Retry, Quarantine, RefuseUnfinishable, WaitForCapacity, Route, Send;
`core.Drain` precedes it.
"""

from .admission import Admission
from .match import Match
from .quarantine import Quarantine
from .queue import WaitForCapacity
from .retry import Retry
from .route import Route
from .send import Send
from .stop import RefuseUnfinishable

__all__ = [
    "Admission",
    "Match",
    "Quarantine",
    "RefuseUnfinishable",
    "Retry",
    "Route",
    "Send",
    "WaitForCapacity",
]
