"""Accept documents from within a program."""

import uuid
from collections.abc import Sequence
from datetime import UTC, datetime

from ..documents import Unplaced
from ..records import Document
from ..stores import TableStore
from .change import ChangeNote
from .draft import Draft
from .plan import plan_apply
from .read import read_accepted
from .submit import submit

LIBRARY_AUTHOR = "hawthornyard"


def new_note(author: str, *, message: str = "") -> ChangeNote:
    """Return a note with a new identifier and the current time."""
    time = datetime.now(UTC).isoformat(timespec="seconds")
    return ChangeNote(uuid.uuid4().hex, author, time, message=message)


def apply_documents(table: TableStore, documents: Sequence[Document]) -> int:
    """Accept documents in one transaction.

    Args:
        table: The platform's table service.
        documents: Documents that their schemas accept.

    Returns:
        The revision of the configuration that holds them.

    Raises:
        RecordError: If the documents contradict each other or the accepted ones.
        ConflictError: If another change was accepted meanwhile.
        PlatformError: If the table service did not answer.
    """
    accepted = read_accepted(table)
    plan = plan_apply(accepted, [Draft(document, Unplaced()) for document in documents])
    change = submit(table, plan, new_note(LIBRARY_AUTHOR))
    return change.revision if change is not None else accepted.revision
