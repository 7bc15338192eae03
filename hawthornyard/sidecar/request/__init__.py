"""Filters that take a dispatched attempt to the endpoint, in this order.

`Deduplicate`, `CheckAvailability`, `Admit`, `StartAttempt`.
"""

from .admit import Admit
from .begin import StartAttempt
from .fence import Deduplicate
from .gate import CheckAvailability

__all__ = ["Admit", "CheckAvailability", "Deduplicate", "StartAttempt"]
