"""Return the answers of endpoints to the callers.

The chain is Relay, Expire, Settle.
"""

from .close import Settle
from .expire import Expire
from .relay import Relay

__all__ = ["Expire", "Relay", "Settle"]
