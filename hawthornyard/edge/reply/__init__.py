"""Return the answers of endpoints to the callers.

The chain is Relay, Expire, CloseRequests; CountResponses listens ahead of them.
"""

from .close import CloseRequests
from .count import CountResponses
from .expire import Expire
from .relay import Relay

__all__ = ["CloseRequests", "CountResponses", "Expire", "Relay"]
