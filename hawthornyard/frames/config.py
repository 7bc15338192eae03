"""Frames that distribute configuration records."""

from collections.abc import Sequence

from ..core import Message
from .frame import Frame


class RecordEntry(Message):
    """Accepted version of a record, as stored in the table.

    Attributes:
        kind: Record kind.
        name: Record name.
        revision: Table revision that wrote the record.
        document: Record as JSON text, empty if it was retired.
    """

    __slots__ = ("kind", "name", "revision", "document")

    def __init__(self, kind: str, name: str, revision: int, document: str) -> None:
        self.kind = kind
        self.name = name
        self.revision = revision
        self.document = document


class ConfigPush(Frame):
    """Gateway to peer: the records that changed between two revisions.

    Attributes:
        after: Revision that the receiver must already hold.
        revision: Revision that the receiver holds once the entries are applied.
        entries: Changed records, ordered by revision.
    """

    __slots__ = ("after", "revision", "entries")

    def __init__(
        self, after: int, revision: int, entries: Sequence[RecordEntry]
    ) -> None:
        self.after = after
        self.revision = revision
        self.entries = entries


class ConfigPull(Frame):
    """Peer to gateway: request for the records that changed after a revision."""

    __slots__ = ("after",)

    def __init__(self, after: int) -> None:
        self.after = after
