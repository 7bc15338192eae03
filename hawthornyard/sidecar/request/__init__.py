"""Carry a dispatch to the endpoint: Fence, Gate, Admit, Begin."""

from .admit import Admit
from .begin import Begin
from .fence import Fence
from .gate import Gate

__all__ = ["Admit", "Begin", "Fence", "Gate"]
