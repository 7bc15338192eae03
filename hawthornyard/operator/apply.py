"""Apply documents from Python code, without record files."""

import uuid
from collections.abc import Sequence
from datetime import UTC, datetime

from ..documents import UnknownLocation
from ..records import Document
from ..stores import TableStore
from .change import ChangeMetadata
from .draft import Draft
from .plan import plan_apply
from .read import read_accepted
from .submit import submit

LIBRARY_AUTHOR = "hawthornyard"


def new_change_metadata(author: str, *, message: str = "") -> ChangeMetadata:
    """Return metadata with a new change identifier and the current UTC time.

    Args:
        author: Who makes the change.
        message: Why it is made, empty for no reason.
    """
    time = datetime.now(UTC).isoformat(timespec="seconds")
    return ChangeMetadata(uuid.uuid4().hex, author, time, message=message)


def apply_documents(table: TableStore, documents: Sequence[Document]) -> int:
    """Create or update records in one transaction.

    Args:
        table: The platform's table service.
        documents: Documents that are valid against their schemas.

    Returns:
        The configuration revision that contains them.

    Raises:
        RecordError: If the documents are inconsistent with each other or with the
            accepted records.
        ConflictError: If another change was accepted first.
        PlatformError: If the table service did not respond.
    """
    accepted = read_accepted(table)
    plan = plan_apply(
        accepted, [Draft(document, UnknownLocation()) for document in documents]
    )
    change = submit(table, plan, new_change_metadata(LIBRARY_AUTHOR))
    return change.revision if change is not None else accepted.revision
