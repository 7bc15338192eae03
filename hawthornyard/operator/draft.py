"""Define a record that an operator submits."""

from ..documents.location import SourceLocation
from ..records.record import Document
from .snapshot import RecordName


class Draft:
    """A document that is valid against its schema but not yet accepted.

    Attributes:
        name: Kind and name of the record.
        document: The document.
        location: Source file and line for error messages.
    """

    __slots__ = ("document", "location", "name")

    def __init__(self, document: Document, location: SourceLocation) -> None:
        self.name = RecordName(document["kind"], document["name"])
        self.document = document
        self.location = location
