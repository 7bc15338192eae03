"""Filters that carry a call from the caller to a sidecar.

They run in this order: Drain, Authenticate, ListModels, Resolve, EnforceTeamLimits,
Retry, WaitForCapacity, ClaimKey, Route, SendAttempt.
"""

from .authenticate import Authenticate
from .claim import ClaimKey
from .dispatch import SendAttempt
from .limit import EnforceTeamLimits
from .models import ListModels
from .queue import WaitForCapacity
from .resolve import Resolve
from .retry import Retry
from .route import Route

__all__ = [
    "Authenticate",
    "ClaimKey",
    "ListModels",
    "Resolve",
    "Retry",
    "Route",
    "SendAttempt",
    "EnforceTeamLimits",
    "WaitForCapacity",
]
