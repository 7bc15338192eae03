"""Plan a change of records and check that it is consistent."""

import enum
from collections.abc import Iterator, Sequence

from ..core import Message
from ..documents.problem import Problem
from ..documents.violation import Violation
from ..records.build import build_record
from ..records.constraint import constraint_violations
from ..records.record import Document, Record
from ..records.reference import Reference, references
from ..records.upgrade import is_supported, upgrade
from .draft import Draft
from .snapshot import RecordName, RecordSnapshot

MAX_NAMES_SHOWN = 12


class Action(enum.Enum):
    """An operation of a change on one record."""

    CREATE = "create"
    UPDATE = "update"
    RETIRE = "retire"


class Difference(Message):
    """A field that a change alters.

    Attributes:
        field: Dotted path of the field.
        before: Value before the change, None if the field was absent.
        after: Value after the change, None if the field is absent.
    """

    __slots__ = ("field", "before", "after")

    def __init__(self, field: str, before: object, after: object) -> None:
        self.field = field
        self.before = before
        self.after = after


class Step(Message):
    """The part of a change that writes one record.

    Attributes:
        name: Kind and name of the record.
        action: Whether it is created, updated or retired.
        before_revision: Revision of its row in the snapshot that the change was
            planned against, 0 if it had no row.
        document: Its new document, None to retire it.
        differences: Fields that change.
    """

    __slots__ = ("name", "action", "before_revision", "document", "differences")

    def __init__(
        self,
        name: RecordName,
        action: Action,
        before_revision: int,
        document: Document | None,
        differences: Sequence[Difference],
    ) -> None:
        self.name = name
        self.action = action
        self.before_revision = before_revision
        self.document = document
        self.differences = differences


class Plan:
    """A planned change of records.

    Attributes:
        base: Configuration revision that it was planned against.
        steps: One step for each record to write.
        n_unchanged: Number of drafts equal to the accepted record.
        problems: Errors that forbid the change, none if it may be submitted.
    """

    __slots__ = ("base", "n_unchanged", "problems", "steps")

    def __init__(
        self,
        base: int,
        steps: Sequence[Step],
        n_unchanged: int,
        problems: Sequence[Problem],
    ) -> None:
        self.base = base
        self.steps = steps
        self.n_unchanged = n_unchanged
        self.problems = problems


def plan_apply(accepted: RecordSnapshot, drafts: Sequence[Draft]) -> Plan:
    """Plan to create or update records.

    Args:
        accepted: Snapshot of the accepted records.
        drafts: Records to create or update.
    """
    steps = [_step_of_draft(accepted, draft) for draft in drafts]
    changed_steps = [step for step in steps if step is not None]
    problems = [*_duplicates(drafts), *_constraint_problems(drafts)]
    problems += _dangling_references(accepted, drafts)
    n_unchanged = len(steps) - len(changed_steps)
    return Plan(accepted.revision, changed_steps, n_unchanged, problems)


def plan_retire(accepted: RecordSnapshot, names: Sequence[RecordName]) -> Plan:
    """Plan to retire records.

    Args:
        accepted: Snapshot of the accepted records.
        names: Records to retire.
    """
    unique = list({str(name): name for name in names}.values())
    problems = [
        *_missing_records(accepted, unique),
        *_still_referenced(accepted, unique),
    ]
    steps = [
        Step(name, Action.RETIRE, accepted.row_revision(name), None, ())
        for name in unique
    ]
    return Plan(accepted.revision, steps, 0, problems)


def differences(before: Document, after: Document) -> list[Difference]:
    """Return the fields in which two versions of a record differ.

    A version whose schema this program supports is upgraded to the newest schema
    before the comparison; the field `schema` itself is compared as it was declared.
    """
    old, new = _spec_fields(_upgraded(before)), _spec_fields(_upgraded(after))
    old["schema"], new["schema"] = before["schema"], after["schema"]
    return [
        Difference(field, old.get(field), new.get(field))
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field)
    ]


def _step_of_draft(accepted: RecordSnapshot, draft: Draft) -> Step | None:
    record = accepted.find(draft.name)
    row_revision = accepted.row_revision(draft.name)
    document = draft.document
    if record is None or record.document is None:
        changed = differences({**document, "spec": {}}, document)
        return Step(draft.name, Action.CREATE, row_revision, document, changed)
    if record.document == document:
        return None
    changed = differences(record.document, document)
    return Step(draft.name, Action.UPDATE, row_revision, document, changed)


def _upgraded(document: Document) -> Document:
    return upgrade(document) if is_supported(document) else document


def _spec_fields(document: Document) -> dict[str, object]:
    return {
        f"spec.{key}": value
        for key, value in document["spec"].items()
        if value is not None
    }


def _duplicates(drafts: Sequence[Draft]) -> Iterator[Problem]:
    first: dict[str, Draft] = {}
    for draft in drafts:
        earlier = first.setdefault(str(draft.name), draft)
        if earlier is not draft:
            allowed = f"{draft.name} once in a change; it is also at "
            allowed += earlier.location.where
            yield draft.location.problem(Violation(("name",), draft.name.name, allowed))


def _constraint_problems(drafts: Sequence[Draft]) -> Iterator[Problem]:
    for draft in drafts:
        for violation in constraint_violations(_typed_record(draft.document)):
            yield draft.location.problem(violation)


def _dangling_references(
    accepted: RecordSnapshot, drafts: Sequence[Draft]
) -> Iterator[Problem]:
    known = {(item.kind, item.name) for item in accepted.live()}
    known |= {(draft.name.kind, draft.name.name) for draft in drafts}
    for draft in drafts:
        for reference in references(_typed_record(draft.document)):
            if (reference.kind, reference.name) not in known:
                yield draft.location.problem(_dangling_violation(reference, known))


def _dangling_violation(reference: Reference, known: set[tuple[str, str]]) -> Violation:
    names = sorted(name for kind, name in known if kind == reference.kind)
    allowed = f"the name of a {reference.kind} record; there are: "
    allowed += ", ".join(names[:MAX_NAMES_SHOWN]) or "none"
    if len(names) > MAX_NAMES_SHOWN:
        allowed += f" and {len(names) - MAX_NAMES_SHOWN} more"
    return Violation(reference.path, reference.name, allowed)


def _missing_records(
    accepted: RecordSnapshot, names: Sequence[RecordName]
) -> Iterator[Problem]:
    for name in names:
        if accepted.find(name) is None:
            yield Problem(str(name), 0, "", "", "a record that is accepted now")


def _still_referenced(
    accepted: RecordSnapshot, names: Sequence[RecordName]
) -> Iterator[Problem]:
    retired = {(name.kind, name.name) for name in names}
    for item in accepted.live():
        if (item.kind, item.name) in retired or item.document is None:
            continue
        if not is_supported(item.document):
            continue
        for reference in references(_typed_record(item.document)):
            if (reference.kind, reference.name) in retired:
                allowed = "a record that no other record references; "
                allowed += f"{item.kind}/{item.name} references it in "
                allowed += ".".join(str(part) for part in reference.path)
                label = f"{reference.kind}/{reference.name}"
                yield Problem(label, 0, "", "", allowed)


def _typed_record(document: Document) -> Record:
    return build_record(upgrade(document))
