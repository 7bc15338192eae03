"""Follow the fleet: configuration from gateways, heartbeats to them."""

from .beat import Beat
from .config import TakeConfig

__all__ = ["Beat", "TakeConfig"]
