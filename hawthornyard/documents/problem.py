"""Define errors in documents, with their location and the allowed values."""

from collections.abc import Sequence

from ..core import Message


class Problem(Message):
    """An error in a document that its author has to correct.

    Attributes:
        file: File with the error or another label of its source, empty if there
            is none.
        line: Line in the file, counted from 1, 0 if unknown.
        field: Field as a dotted path, empty for the whole document.
        given: The value found, empty if it is missing.
        allowed: Description of the allowed values.
    """

    __slots__ = ("file", "line", "field", "given", "allowed")

    def __init__(
        self, file: str, line: int, field: str, given: str, allowed: str
    ) -> None:
        self.file = file
        self.line = line
        self.field = field
        self.given = given
        self.allowed = allowed

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        parts = [part for part in (location, self.field) if part]
        given = f"given {self.given}; " if self.given else ""
        return ": ".join([*parts, f"{given}allowed: {self.allowed}"])


def format_problems(problems: Sequence[Problem]) -> str:
    """Return the problems as text, one per line."""
    return "\n".join(str(problem) for problem in problems)
