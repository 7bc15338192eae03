"""Split a stream of bytes into blocks that end with an empty line."""

from collections.abc import Iterator

from ..errors import OversizedMessageError

MAX_BLOCK_BYTES = 1024 * 1024
"""Largest unfinished block, so that an endless one can't exhaust the memory."""

BLOCK_END = b"\n\n"


class BlockSplitter:
    """Incremental splitter of server-sent events into blocks.

    The time that it takes is proportional to the bytes, whatever their pieces.
    """

    __slots__ = ("_buffer", "_n_searched")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._n_searched = 0

    @property
    def n_unfinished(self) -> int:
        """Return the number of bytes of a block whose end has not been fed."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield the blocks that they complete, without their ends.

        Raises:
            OversizedMessageError: If the unfinished block is over `MAX_BLOCK_BYTES`.
        """
        self._buffer += data
        start = 0
        while (end := self._buffer.find(BLOCK_END, max(start, self._n_searched))) >= 0:
            yield bytes(self._buffer[start:end])
            start = end + len(BLOCK_END)
        del self._buffer[:start]
        # The end of a block may be cut between two pieces.
        self._n_searched = max(0, len(self._buffer) - len(BLOCK_END) + 1)
        if len(self._buffer) > MAX_BLOCK_BYTES:
            raise OversizedMessageError(
                f"an event is over {MAX_BLOCK_BYTES} bytes, the largest allowed"
            )
