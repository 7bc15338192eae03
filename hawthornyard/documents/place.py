"""Name the place where a document was read."""

from typing import Protocol

from .problem import Problem
from .violation import Violation


class Place(Protocol):
    """Where a document was read."""

    @property
    def where(self) -> str:
        """Return file and line, for people."""
        ...

    def problem(self, violation: Violation) -> Problem:
        """Return a violation together with its place."""
        ...
