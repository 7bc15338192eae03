"""Define the platform's transactional table service."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Message


class Row(Message):
    """A row of the table.

    Attributes:
        key: Key of the row.
        value: Text; empty for a deleted row.
        revision: Revision of the transaction that wrote it.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key: str, value: str, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Put(Message):
    """A write of one row within a transaction.

    Attributes:
        key: Key of the row.
        value: New text of the row.
    """

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: str) -> None:
        self.key = key
        self.value = value


class Condition(Message):
    """A condition of a transaction: a row must still have a revision.

    Attributes:
        key: Key of the row.
        revision: Expected revision, 0 for an absent row.
    """

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


class Page(Message):
    """Result of a scan.

    Attributes:
        rows: Rows in order of revision.
        head: Revision of the table up to which `rows` is complete.
    """

    __slots__ = ("rows", "head")

    def __init__(self, rows: Sequence[Row], head: int) -> None:
        self.rows = rows
        self.head = head


class TableStore(Protocol):
    """The platform's table service."""

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows if every condition holds, else none.

        Returns:
            The revision of the transaction.

        Raises:
            ConflictError: If a condition does not hold.
            PlatformError: If there was no answer; the write may have taken effect.
        """
        ...

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return the rows whose key starts with `prefix`, changed after a revision.

        Raises:
            PlatformError: If there was no answer.
        """
        ...

    def read(self, key: str) -> Row | None:
        """Return one row, or None if there is none.

        Raises:
            PlatformError: If there was no answer.
        """
        ...
