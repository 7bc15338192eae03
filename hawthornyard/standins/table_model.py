"""Keep the platform's transactional table in memory."""

from collections.abc import Sequence

from ..errors import ConflictError
from ..stores import Condition, Page, Put, Row


class MemoryTable:
    """A `TableStore` in memory, with transactions conditional on row revisions.

    Attributes:
        head: Revision of the last transaction, 0 for none.
    """

    __slots__ = ("_rows", "head")

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self.head = 0

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows or none; see `TableStore.transact`."""
        for condition in conditions:
            row = self._rows.get(condition.key)
            revision = row.revision if row else 0
            if revision != condition.revision:
                raise ConflictError(f"{condition.key} is at revision {revision}")
        self.head += 1
        for put in puts:
            self._rows[put.key] = Row(put.key, put.value, self.head)
        return self.head

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return rows below `prefix`; see `TableStore.scan`."""
        rows = [
            row
            for row in self._rows.values()
            if row.key.startswith(prefix) and row.revision > after
        ]
        return Page(sorted(rows, key=lambda row: row.revision), self.head)

    def read(self, key: str) -> Row | None:
        """Return one row; see `TableStore.read`."""
        return self._rows.get(key)
