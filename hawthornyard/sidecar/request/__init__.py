"""Filters that take a dispatched attempt to the endpoint, in this order.

`Deduplicate`, `CheckAvailability`, `Admit`, `StartAttempt`.
"""

from .admit import Admit
from .availability import CheckAvailability
from .deduplicate import Deduplicate
from .start import StartAttempt

__all__ = ["Admit", "CheckAvailability", "Deduplicate", "StartAttempt"]
