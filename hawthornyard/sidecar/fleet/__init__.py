"""Filters for configuration from gateways and heartbeats to them."""

from .beat import SendHeartbeats
from .config import ApplyRecords

__all__ = ["ApplyRecords", "SendHeartbeats"]
