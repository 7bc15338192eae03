"""Read accepted records and changes from the table."""

from ..stores import TableStore
from .accepted import Accepted
from .change import Change
from .rows import (
    CHANGE_PREFIX,
    HEAD_KEY,
    RECORD_PREFIX,
    change_key,
    decode_change,
    decode_record,
)


def read_accepted(table: TableStore) -> Accepted:
    """Return all accepted records.

    Raises:
        PlatformError: If the table service did not answer.
    """
    # The head first: a change between both reads then fails on the head.
    head = table.read(HEAD_KEY)
    page = table.scan(RECORD_PREFIX)
    records = [decode_record(row) for row in page.rows]
    return Accepted(head.revision if head else 0, records)


def read_changes(table: TableStore, *, after: int = 0) -> list[Change]:
    """Return the changes after a revision, oldest first.

    Raises:
        PlatformError: If the table service did not answer.
    """
    page = table.scan(CHANGE_PREFIX, after=after)
    return [decode_change(row) for row in page.rows]


def read_change(table: TableStore, change_id: str) -> Change | None:
    """Return one change, None if it was not accepted.

    Raises:
        PlatformError: If the table service did not answer.
    """
    row = table.read(change_key(change_id))
    return decode_change(row) if row is not None else None
