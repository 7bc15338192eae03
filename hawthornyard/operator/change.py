"""Write changes of records to the table service."""

import json
from collections.abc import Sequence

from ..platform import Condition, Put, TableStore
from ..records import Document, upgrade

RECORD_PREFIX = "record/"


def apply_documents(table: TableStore, documents: Sequence[Document]) -> int:
    """Accept documents in one transaction.

    Args:
        table: The platform's table service.
        documents: Documents that their schemas accept.

    Returns:
        The revision that the change got.

    Raises:
        ConflictError: If another change was accepted meanwhile.
        PlatformError: If the table service did not answer.
    """
    rows = {row.key: row for row in table.scan(RECORD_PREFIX).rows}
    conditions = []
    puts = []
    for document in documents:
        key = record_key(document["kind"], document["name"])
        row = rows.get(key)
        conditions.append(Condition(key, row.revision if row else 0))
        puts.append(Put(key, json.dumps(upgrade(document))))
    return table.transact(conditions, puts)


def record_key(kind: str, name: str) -> str:
    """Return the key of a record's row."""
    return f"{RECORD_PREFIX}{kind}/{name}"
