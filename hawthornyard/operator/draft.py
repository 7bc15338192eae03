"""Hold a record that an operator wants accepted."""

from ..documents.place import Place
from ..records.record import Document
from .accepted import RecordName


class Draft:
    """A document that its schema accepts, not yet accepted by the table.

    Attributes:
        name: Kind and name of the record.
        document: The document.
        place: Where it was read.
    """

    __slots__ = ("document", "name", "place")

    def __init__(self, document: Document, place: Place) -> None:
        self.name = RecordName(document["kind"], document["name"])
        self.document = document
        self.place = place
