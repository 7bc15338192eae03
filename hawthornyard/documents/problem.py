"""Say what is wrong with a document, where, and what would be right."""

from collections.abc import Sequence

from ..core import Message


class Problem(Message):
    """One thing that a person has to correct.

    Attributes:
        file: File that holds it, empty if it came from no file.
        line: Line in the file from 1, 0 if unknown.
        field: Field as a dotted path, empty for the whole document.
        given: What stands there, empty for nothing.
        allowed: What may stand there.
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
        place = f"{self.file}:{self.line}" if self.line else self.file
        parts = [part for part in (place, self.field) if part]
        given = f"given {self.given}; " if self.given else ""
        return ": ".join([*parts, f"{given}allowed: {self.allowed}"])


def report(problems: Sequence[Problem]) -> str:
    """Return all problems, one a line."""
    return "\n".join(str(problem) for problem in problems)
