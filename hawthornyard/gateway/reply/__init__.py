"""Filters that carry output back to callers: Relay, MeterTokens, CloseRequests."""

from .meter import MeterTokens
from .relay import Relay
from .settle import CloseRequests

__all__ = ["MeterTokens", "Relay", "CloseRequests"]
