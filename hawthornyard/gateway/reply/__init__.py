"""Filters that carry output back to callers: Relay, MeterTokens, CloseRequests."""

from .close import CloseRequests
from .meter import MeterTokens
from .relay import Relay

__all__ = ["MeterTokens", "Relay", "CloseRequests"]
