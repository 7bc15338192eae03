"""Submit a planned change to the table, at most once."""

from collections.abc import Callable

import eventlet

from ..documents import report
from ..errors import ConflictError, PlatformError, RecordError
from ..stores import TableStore
from .accepted import Accepted
from .change import Change, ChangeNote
from .plan import Plan
from .read import read_change, read_changes
from .rows import conditions_of, puts_of

N_TRIES = 4
PAUSE_S = 0.25

Pause = Callable[[float], object]


def submit(
    table: TableStore, plan: Plan, note: ChangeNote, *, pause: Pause = eventlet.sleep
) -> Change | None:
    """Submit a planned change in one transaction, with retries.

    If the reply to a transaction is lost, the row of the change tells whether it
    was committed. If the row is absent, the same transaction is sent again. It is
    conditional on the revision of the head row, so at most one try commits.

    Args:
        table: The platform's table service.
        plan: The planned change.
        note: Identifier, author, time and reason of the change.
        pause: Sleeps for a number of seconds between two tries.

    Returns:
        The accepted change, None if there was nothing to write.

    Raises:
        RecordError: If the plan has problems.
        ConflictError: If another change was accepted first; the text names it.
        PlatformError: If the outcome is unknown after the last try.
    """
    if plan.problems:
        raise RecordError(report(plan.problems))
    if not plan.steps:
        return None
    conditions, puts = conditions_of(plan), puts_of(plan, note)
    for n_failed in range(N_TRIES):
        pause(PAUSE_S * n_failed)
        try:
            table.transact(conditions, puts)
        except ConflictError as exc:
            return _own_change_or_conflict(table, plan, note, exc)
        except PlatformError:
            pass
        accepted = _read_back(table, note)
        if accepted is not None:
            return accepted
    raise PlatformError(
        "table service: no response; whether the change was accepted is not known; "
        f"check later with: hawthornyard records history --change {note.change_id}"
    )


def require_base(table: TableStore, accepted: Accepted, base: int) -> None:
    """Check that the configuration is still at an expected revision.

    Args:
        table: The platform's table service.
        accepted: Snapshot of the accepted records.
        base: Expected revision, as `records diff` printed it.

    Raises:
        ConflictError: If another change was accepted since; the text names it.
    """
    if accepted.revision != base:
        raise _conflict(table, base, f"the head is at revision {accepted.revision}")


def _read_back(table: TableStore, note: ChangeNote) -> Change | None:
    try:
        return read_change(table, note.change_id)
    except PlatformError:
        return None


def _own_change_or_conflict(
    table: TableStore, plan: Plan, note: ChangeNote, exc: ConflictError
) -> Change:
    # An earlier try may have been committed although its reply was lost.
    own = read_change(table, note.change_id)
    if own is not None:
        return own
    raise _conflict(table, plan.base, exc.detail)


def _conflict(table: TableStore, base: int, detail: str) -> ConflictError:
    others = read_changes(table, after=base)
    named = "\n".join(f"  {change}" for change in others)
    return ConflictError(
        f"nothing was written; accepted since revision {base}:\n"
        f"{named or '  a write outside of changes: ' + detail}\n"
        "Review with hawthornyard records diff, then apply again."
    )
