"""Return the answers of endpoints to the callers.

The chain is Relay, Expire, CloseRequests.
"""

from .close import CloseRequests
from .expire import Expire
from .relay import Relay

__all__ = ["CloseRequests", "Expire", "Relay"]
