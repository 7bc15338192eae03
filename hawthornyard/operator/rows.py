"""Encode records and changes as rows of the table."""

import json
from typing import Any

from ..records import Document
from ..stores import Condition, Put, Row
from .change import Change, ChangedRecord, ChangeMetadata
from .plan import Plan, Step
from .snapshot import AcceptedRecord, RecordName

RECORD_PREFIX = "record/"
CHANGE_PREFIX = "change/"
HEAD_KEY = "head/records"


def record_key(kind: str, name: str) -> str:
    """Return the key of a record's row."""
    return f"{RECORD_PREFIX}{kind}/{name}"


def change_key(change_id: str) -> str:
    """Return the key of a change's row."""
    return f"{CHANGE_PREFIX}{change_id}"


def conditions_of(plan: Plan) -> list[Condition]:
    """Return the row revisions that a plan depends on, the head row's first."""
    conditions = [Condition(HEAD_KEY, plan.base)]
    for step in plan.steps:
        conditions.append(Condition(_key(step.name), step.before_revision))
    return conditions


def puts_of(plan: Plan, metadata: ChangeMetadata) -> list[Put]:
    """Return the rows that a change writes: its records, its own row, the head row."""
    puts = [Put(_key(step.name), _encode_step(step)) for step in plan.steps]
    puts.append(Put(change_key(metadata.change_id), _encode_change(plan, metadata)))
    puts.append(Put(HEAD_KEY, json.dumps({"change": metadata.change_id})))
    return puts


def decode_record(row: Row) -> AcceptedRecord:
    """Decode a row whose key begins with `RECORD_PREFIX`.

    An empty value stands for a retired record.
    """
    _, kind, name = row.key.split("/", 2)
    document: Document = json.loads(row.value) if row.value else {"retired": True}
    is_retired = bool(document.get("retired"))
    return AcceptedRecord(kind, name, row.revision, None if is_retired else document)


def decode_change(row: Row) -> Change:
    """Decode a row whose key begins with `CHANGE_PREFIX`."""
    body: dict[str, Any] = json.loads(row.value)
    metadata = ChangeMetadata(
        body["id"], body["author"], body["time"], message=body["message"]
    )
    records = [ChangedRecord(*item) for item in body["records"]]
    return Change(metadata, body["base"], row.revision, records)


def _key(name: RecordName) -> str:
    return record_key(name.kind, name.name)


def _encode_step(step: Step) -> str:
    if step.document is not None:
        return json.dumps(step.document)
    name = step.name
    return json.dumps({"kind": name.kind, "name": name.name, "retired": True})


def _encode_change(plan: Plan, metadata: ChangeMetadata) -> str:
    records = [
        [step.name.kind, step.name.name, step.action.value, step.before_revision]
        for step in plan.steps
    ]
    return json.dumps(
        {
            "id": metadata.change_id,
            "author": metadata.author,
            "time": metadata.time,
            "message": metadata.message,
            "base": plan.base,
            "records": records,
        }
    )
