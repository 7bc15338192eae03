"""Define violations of a schema or constraint."""

from typing import Any

from ..core import Message

FieldPath = tuple[str | int, ...]


class Violation(Message):
    """A value that violates its schema or a constraint.

    Attributes:
        path: Keys and indexes from the document root to the value.
        given: The value, None if it is missing.
        allowed: Description of the allowed values.
    """

    __slots__ = ("path", "given", "allowed")

    def __init__(self, path: FieldPath, given: Any, allowed: str) -> None:
        self.path = path
        self.given = given
        self.allowed = allowed

    @property
    def field(self) -> str:
        """Return the path with dots between its parts, empty for the root."""
        return ".".join(str(part) for part in self.path)

    def __str__(self) -> str:
        return f"{self.field or 'document'}: {self.allowed}"
