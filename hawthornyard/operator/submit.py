"""Submit a planned change to the table, at most once."""

from collections.abc import Callable

import eventlet

from ..documents import format_problems
from ..errors import ConflictError, PlatformError, RecordError
from ..stores import TableStore
from .change import Change, ChangeMetadata
from .plan import Plan
from .read import read_change, read_changes
from .rows import conditions_of, puts_of
from .snapshot import RecordSnapshot

MAX_TRIES = 4
BACKOFF_STEP_S = 0.25

Sleep = Callable[[float], object]


def submit(
    table: TableStore,
    plan: Plan,
    metadata: ChangeMetadata,
    *,
    sleep: Sleep = eventlet.sleep,
) -> Change | None:
    """Submit a planned change in one transaction, with retries.

    If the reply to a transaction is lost, the row of the change tells whether it
    was committed. If the row is absent, the same transaction is sent again. It is
    conditional on the revision of the head row, so at most one try commits.

    Args:
        table: The platform's table service.
        plan: The planned change.
        metadata: Identifier, author, time and reason of the change.
        sleep: Sleeps for a number of seconds between two tries.

    Returns:
        The accepted change, None if there was nothing to write.

    Raises:
        RecordError: If the plan has problems.
        ConflictError: If another change was accepted first; the text names it.
        PlatformError: If the outcome is unknown after the last try.
    """
    if plan.problems:
        raise RecordError(format_problems(plan.problems))
    if not plan.steps:
        return None
    conditions, puts = conditions_of(plan), puts_of(plan, metadata)
    for n_failed in range(MAX_TRIES):
        sleep(BACKOFF_STEP_S * n_failed)
        try:
            table.transact(conditions, puts)
        except ConflictError as exc:
            return _own_change_or_conflict(table, plan, metadata, exc)
        except PlatformError:
            pass
        accepted = _read_back(table, metadata)
        if accepted is not None:
            return accepted
    raise PlatformError(
        "table service: no response; whether the change was accepted is not known; "
        f"check later with: hawthornyard records history --change {metadata.change_id}"
    )


def require_base(table: TableStore, accepted: RecordSnapshot, base: int) -> None:
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


def _read_back(table: TableStore, metadata: ChangeMetadata) -> Change | None:
    try:
        return read_change(table, metadata.change_id)
    except PlatformError:
        return None


def _own_change_or_conflict(
    table: TableStore, plan: Plan, metadata: ChangeMetadata, exc: ConflictError
) -> Change:
    # An earlier try may have been committed although its reply was lost.
    own = read_change(table, metadata.change_id)
    if own is not None:
        return own
    raise _conflict(table, plan.base, exc.detail)


def _conflict(table: TableStore, base: int, detail: str) -> ConflictError:
    others = read_changes(table, after=base)
    change_lines = "\n".join(f"  {change}" for change in others)
    return ConflictError(
        f"nothing was written; accepted since revision {base}:\n"
        f"{change_lines or '  a write outside of changes: ' + detail}\n"
        "Review with hawthornyard records diff, then apply again."
    )
