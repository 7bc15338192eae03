"""Carry a call from the caller to a sidecar.

The chain is Drain, Authenticate, ListModels, Resolve, TeamLimit, Retry, WaitForRoom,
Claim, Route, SendAttempt.
"""

from .authenticate import Authenticate
from .claim import Claim
from .dispatch import SendAttempt
from .limit import TeamLimit
from .models import ListModels
from .queue import WaitForRoom
from .resolve import Resolve
from .retry import Retry
from .route import Route

__all__ = [
    "Authenticate",
    "Claim",
    "ListModels",
    "Resolve",
    "Retry",
    "Route",
    "SendAttempt",
    "TeamLimit",
    "WaitForRoom",
]
