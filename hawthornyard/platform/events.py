"""Split a stream of server-sent events."""

import re
from collections.abc import Iterator

from ..edge.messages import Event
from ..errors import EndpointError

MAX_EVENT_BYTES = 1024 * 1024
"""Limit on an unfinished event, so that an endless one can't exhaust the memory."""

_EVENT_END = b"\n\n"
_EVENT_ID = re.compile(rb"^id: ?([0-9]{1,12})\r?$", re.MULTILINE)


class EventSplitter:
    """Incremental splitter of a byte stream into whole events."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> Iterator[Event]:
        """Add bytes of the stream and yield the events that they complete.

        Raises:
            EndpointError: If an event has no numeric id, or the unfinished event is
                over `MAX_EVENT_BYTES`.
        """
        *blocks, self._buffer = (self._buffer + data).split(_EVENT_END)
        for block in blocks:
            match = _EVENT_ID.search(block)
            if match is None:
                raise EndpointError("an event has no id of 1 to 12 digits")
            yield Event(int(match[1]), block + _EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EndpointError(f"an event is longer than {MAX_EVENT_BYTES} bytes")

    @property
    def n_unfinished(self) -> int:
        """Return the number of bytes of an event whose end has not been read."""
        return len(self._buffer)
