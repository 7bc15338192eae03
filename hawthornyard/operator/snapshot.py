"""Define a snapshot of the accepted records."""

from collections.abc import Iterable, Iterator

from ..core import Message
from ..records.record import Document


class RecordName(Message):
    """The kind and name that identify a record."""

    __slots__ = ("kind", "name")

    def __init__(self, kind: str, name: str) -> None:
        self.kind = kind
        self.name = name

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class AcceptedRecord(Message):
    """A record as it is stored in the table.

    Attributes:
        kind: Record kind.
        name: Record name.
        revision: Revision of the change that wrote it.
        document: The record in the schema version it was accepted in, None once
            it is retired.
    """

    __slots__ = ("kind", "name", "revision", "document")

    def __init__(
        self, kind: str, name: str, revision: int, document: Document | None
    ) -> None:
        self.kind = kind
        self.name = name
        self.revision = revision
        self.document = document


class RecordSnapshot:
    """A snapshot of all accepted records at one configuration revision.

    Args:
        revision: Revision of the newest change, 0 before the first.
        records: Records with their revisions, retired ones included.
    """

    __slots__ = ("_records", "revision")

    def __init__(self, revision: int, records: Iterable[AcceptedRecord]) -> None:
        self.revision = revision
        self._records = {(item.kind, item.name): item for item in records}

    def row_revision(self, name: RecordName) -> int:
        """Return the revision of a record's row, 0 if it has no row."""
        record = self._records.get((name.kind, name.name))
        return record.revision if record is not None else 0

    def find(self, name: RecordName) -> AcceptedRecord | None:
        """Return a record, None if it is absent or retired."""
        record = self._records.get((name.kind, name.name))
        if record is None or record.document is None:
            return None
        return record

    def live(self) -> Iterator[AcceptedRecord]:
        """Yield the records that are not retired, sorted by kind and name."""
        for key in sorted(self._records):
            record = self._records[key]
            if record.document is not None:
                yield record
