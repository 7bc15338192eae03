"""Filters for configuration from gateways and heartbeats to them."""

from .config import ApplyRecords
from .heartbeat import SendHeartbeats

__all__ = ["ApplyRecords", "SendHeartbeats"]
