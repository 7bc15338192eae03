"""Follow the fleet: heartbeats, connections and configuration."""

from .config import ApplyConfig
from .fleet import Fleet
from .watch import Watch

__all__ = ["ApplyConfig", "Fleet", "Watch"]
