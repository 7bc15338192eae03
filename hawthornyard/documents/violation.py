"""Define where a value departs from what is allowed."""

from typing import Any

from ..core import Message

FieldPath = tuple[str | int, ...]


class Violation(Message):
    """One place where a value departs from its schema.

    Attributes:
        path: Keys and indexes from the root to the place.
        given: The value that stands there, None if it is missing.
        allowed: What the schema allows, for people.
    """

    __slots__ = ("path", "given", "allowed")

    def __init__(self, path: FieldPath, given: Any, allowed: str) -> None:
        self.path = path
        self.given = given
        self.allowed = allowed

    @property
    def field(self) -> str:
        """Return the path as people write it, empty for the root."""
        return ".".join(str(part) for part in self.path)

    def __str__(self) -> str:
        return f"{self.field or 'document'}: {self.allowed}"
