"""Format records, plans and changes as command results."""

from collections.abc import Sequence
from typing import Any

from ..documents import Problem
from ..operator import Change, ParsedRecords, Plan, RecordSnapshot, Step
from .output import Result

MAX_NAMES_SHOWN = 4

_ROLLOUT_NOTES = {
    True: "In force at all queried gateways and their sidecars.",
    False: "Accepted, but not in force everywhere yet.",
}


def problems_result(parsed: ParsedRecords, problems: Sequence[Problem]) -> Result:
    """Return the result of a validation; the text output leaves the problems out."""
    body = {
        "n_records": len(parsed.drafts),
        "problems": [
            {name: getattr(problem, name) for name in Problem.fields()}
            for problem in problems
        ],
    }
    notes = [] if problems else [f"{len(parsed.drafts)} records are valid."]
    return Result(body, notes=notes)


def plan_result(plan: Plan) -> Result:
    """Return the result that shows the steps of a plan."""
    body = {
        "base": plan.base,
        "n_unchanged": plan.n_unchanged,
        "steps": [_step_body(step) for step in plan.steps],
    }
    notes = [
        f"{len(plan.steps)} records to write, {plan.n_unchanged} unchanged; "
        f"base revision {plan.base}."
    ]
    return Result(
        body,
        columns=("action", "record", "field", "before", "after"),
        rows=[row for step in plan.steps for row in _step_rows(step)],
        notes=notes,
    )


def accepted_result(accepted: RecordSnapshot, kinds: Sequence[str]) -> Result:
    """Return the result that lists the accepted records of some kinds."""
    records = [item for item in accepted.live() if item.kind in kinds]
    body = {
        "revision": accepted.revision,
        "records": [
            {"revision": item.revision, "document": item.document} for item in records
        ],
    }
    rows = [
        (item.kind, item.name, (item.document or {}).get("schema"), item.revision)
        for item in records
    ]
    notes = [f"{len(records)} records at revision {accepted.revision}."]
    return Result(
        body, columns=("kind", "name", "schema", "revision"), rows=rows, notes=notes
    )


def change_result(change: Change, *, is_in_force: bool | None = None) -> Result:
    """Return the result that shows an accepted change with all its records.

    Args:
        change: The change.
        is_in_force: Whether it is in force everywhere, None if unknown.
    """
    metadata = change.metadata
    rows = [
        (record.action, str(record), record.before or "", change.revision)
        for record in change.records
    ]
    notes = [
        f"Accepted as revision {change.revision}: change {metadata.change_id} "
        f"by {metadata.author} at {metadata.time}."
    ]
    if metadata.message:
        notes.append(metadata.message)
    if is_in_force is not None:
        notes.append(_ROLLOUT_NOTES[is_in_force])
    body = {
        "revision": change.revision,
        "change": _change_body(change),
        "in_force": is_in_force,
    }
    columns = ("action", "record", "before", "after")
    return Result(body, columns=columns, rows=rows, notes=notes)


def history_result(changes: Sequence[Change]) -> Result:
    """Return the result that lists accepted changes in the given order."""
    rows = [
        (
            change.revision,
            change.metadata.time,
            change.metadata.author,
            change.metadata.change_id,
            ", ".join(f"{rec.action} {rec}" for rec in change.records[:MAX_NAMES_SHOWN])
            + _and_more(len(change.records) - MAX_NAMES_SHOWN),
            change.metadata.message,
        )
        for change in changes
    ]
    columns = ("revision", "time", "author", "change", "records", "message")
    body = [_change_body(change) for change in changes]
    notes = [] if changes else ["No change was accepted."]
    return Result(body, columns=columns, rows=rows, notes=notes)


def _and_more(n_more: int) -> str:
    return f" and {n_more} more" if n_more > 0 else ""


def _step_body(step: Step) -> dict[str, Any]:
    return {
        "action": step.action.value,
        "kind": step.name.kind,
        "name": step.name.name,
        "before_revision": step.before_revision,
        "differences": [
            {"field": item.field, "before": item.before, "after": item.after}
            for item in step.differences
        ],
    }


def _step_rows(step: Step) -> list[tuple[object, ...]]:
    head = (step.action.value, str(step.name))
    return [
        (*head, item.field, item.before, item.after) for item in step.differences
    ] or [(*head, "", "", "")]


def _change_body(change: Change) -> dict[str, Any]:
    metadata = change.metadata
    return {
        "id": metadata.change_id,
        "author": metadata.author,
        "time": metadata.time,
        "message": metadata.message,
        "base": change.base,
        "revision": change.revision,
        "records": [
            {
                "kind": record.kind,
                "name": record.name,
                "action": record.action,
                "before": record.before,
                "after": change.revision,
            }
            for record in change.records
        ],
    }
