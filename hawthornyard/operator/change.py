"""Define an accepted change."""

from collections.abc import Sequence

from ..core import Message

MAX_NAMES_SHOWN = 8


class ChangedRecord(Message):
    """One record that a change wrote.

    Attributes:
        kind: Record kind.
        name: Record name.
        action: "create", "update" or "retire".
        before: Revision of its row before the change, 0 for none.
    """

    __slots__ = ("kind", "name", "action", "before")

    def __init__(self, kind: str, name: str, action: str, before: int) -> None:
        self.kind = kind
        self.name = name
        self.action = action
        self.before = before

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class ChangeNote(Message):
    """What an operator says about a change.

    Attributes:
        change_id: Identifier that the operator's command made for it.
        author: Who makes it.
        time: When it was made, ISO 8601 in UTC, by the operator's clock.
        message: Why it is made.
    """

    __slots__ = ("change_id", "author", "time", "message")

    def __init__(
        self, change_id: str, author: str, time: str, *, message: str = ""
    ) -> None:
        self.change_id = change_id
        self.author = author
        self.time = time
        self.message = message


class Change(Message):
    """A change that the table accepted.

    Attributes:
        note: What its operator says about it.
        base: Revision of the configuration that it started from.
        revision: Revision that it got; every record in it has this one now.
        records: What it wrote.
    """

    __slots__ = ("note", "base", "revision", "records")

    def __init__(
        self,
        note: ChangeNote,
        base: int,
        revision: int,
        records: Sequence[ChangedRecord],
    ) -> None:
        self.note = note
        self.base = base
        self.revision = revision
        self.records = records

    def __str__(self) -> str:
        names = ", ".join(str(record) for record in self.records[:MAX_NAMES_SHOWN])
        n_more = len(self.records) - MAX_NAMES_SHOWN
        more = f" and {n_more} more" if n_more > 0 else ""
        why = f' ("{self.note.message}")' if self.note.message else ""
        return (
            f"change {self.note.change_id} by {self.note.author} at "
            f"{self.note.time}{why}: {names}{more}"
        )
