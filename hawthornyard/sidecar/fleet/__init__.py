"""Follow the fleet: configuration from gateways, heartbeats to them."""

from .beat import SendHeartbeats
from .config import ApplyRecords

__all__ = ["ApplyRecords", "SendHeartbeats"]
