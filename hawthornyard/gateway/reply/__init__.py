"""Carry output from sidecars back to callers: Relay, Meter, Settle."""

from .meter import Meter
from .relay import Relay
from .settle import Settle

__all__ = ["Meter", "Relay", "Settle"]
