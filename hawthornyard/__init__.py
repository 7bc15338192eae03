"""Route and schedule language model generations of unknown length."""

from .errors import ErrorKind, HawthornyardError

__all__ = ["ErrorKind", "HawthornyardError", "__version__"]

__version__ = "0.1.0"
