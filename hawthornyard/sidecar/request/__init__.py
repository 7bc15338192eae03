"""Carry a dispatch to the endpoint, one filter a step."""

from .admit import Admit
from .begin import StartAttempt
from .fence import Deduplicate
from .gate import CheckAvailability

__all__ = ["Admit", "CheckAvailability", "Deduplicate", "StartAttempt"]
