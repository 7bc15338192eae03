"""Define the source location of a document."""

from typing import Protocol

from .problem import Problem
from .violation import Violation


class SourceLocation(Protocol):
    """The source location of a document."""

    @property
    def where(self) -> str:
        """Return the file and line, or another label of the source."""
        ...

    def problem(self, violation: Violation) -> Problem:
        """Return a problem that locates a violation in the document."""
        ...
