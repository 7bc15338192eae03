"""Carry a call from the caller to an endpoint.

The chain is Drain, Match, Retry, WaitForRoom, Route, Send.
"""

from .match import Match
from .queue import WaitForRoom
from .retry import Retry
from .route import Route
from .send import Send

__all__ = ["Match", "Retry", "Route", "Send", "WaitForRoom"]
