"""Read accepted records and changes from the table."""

from ..stores import TableStore
from .change import Change
from .rows import (
    CHANGE_PREFIX,
    HEAD_KEY,
    RECORD_PREFIX,
    change_key,
    decode_change,
    decode_record,
)
from .snapshot import RecordSnapshot


def read_accepted(table: TableStore) -> RecordSnapshot:
    """Return a snapshot of all accepted records.

    Raises:
        PlatformError: If the table service did not respond.
    """
    # Read the head row before the records. If a change is accepted between the
    # two reads, the head revision is then too old and a later write conflicts.
    head = table.read(HEAD_KEY)
    page = table.scan(RECORD_PREFIX)
    records = [decode_record(row) for row in page.rows]
    return RecordSnapshot(head.revision if head else 0, records)


def read_changes(table: TableStore, *, after: int = 0) -> list[Change]:
    """Return the changes accepted after a revision, oldest first.

    Raises:
        PlatformError: If the table service did not respond.
    """
    page = table.scan(CHANGE_PREFIX, after=after)
    return [decode_change(row) for row in page.rows]


def read_change(table: TableStore, change_id: str) -> Change | None:
    """Return the change of an identifier, None if none was accepted.

    Raises:
        PlatformError: If the table service did not respond.
    """
    row = table.read(change_key(change_id))
    return decode_change(row) if row is not None else None
