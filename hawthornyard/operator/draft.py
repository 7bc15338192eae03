"""Define a record that an operator submits."""

from ..documents.place import Place
from ..records.record import Document
from .accepted import RecordName


class Draft:
    """A document that is valid against its schema but not yet accepted.

    Attributes:
        name: Kind and name of the record.
        document: The document.
        place: Source file and line for error messages.
    """

    __slots__ = ("document", "name", "place")

    def __init__(self, document: Document, place: Place) -> None:
        self.name = RecordName(document["kind"], document["name"])
        self.document = document
        self.place = place
