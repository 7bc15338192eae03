"""Return the answers of endpoints to the callers.

The chain is Relay, Expire, Settle.
"""

from .expire import Expire
from .relay import Relay
from .settle import Settle

__all__ = ["Expire", "Relay", "Settle"]
