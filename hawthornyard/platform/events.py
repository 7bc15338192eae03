"""Split a stream of server-sent events."""

import re
from collections.abc import Iterator

from ..edge.messages import Event
from ..errors import EndpointError
from ..net import BLOCK_END, BlockSplitter

_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,12})\r?$", re.MULTILINE)


class EventSplitter:
    """Incremental splitter of a byte stream into whole events."""

    __slots__ = ("_blocks",)

    def __init__(self) -> None:
        self._blocks = BlockSplitter()

    @property
    def n_unfinished(self) -> int:
        """Return the number of bytes of an event whose end has not been read."""
        return self._blocks.n_unfinished

    def feed(self, data: bytes) -> Iterator[Event]:
        """Add bytes of the stream and yield the events that they complete.

        Raises:
            EndpointError: If an event has no numeric id.
            OversizedMessageError: If the unfinished event is too large.
        """
        for block in self._blocks.feed(data):
            match = _EVENT_ID.search(block)
            if match is None:
                raise EndpointError("an event has no id of 1 to 12 digits")
            yield Event(int(match[1]), block + BLOCK_END)
