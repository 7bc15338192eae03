"""Read the heads of requests within limits on their bytes and their cost."""

from typing import Any

import eventlet

from ..errors import OversizedMessageError
from ..net import MAX_HEAD_BYTES, Holding

LINE_COST_BYTES = 640
"""Memory that a line takes beside its bytes: as read, as parsed, and in the WSGI
environment. A parsed head of 1,000 lines was measured to keep 282 KiB; while it is
parsed, each line is held several times."""

LINES_PER_COUNT = 64
"""Lines after which a head that is being read is counted. An ordinary head has fewer
and is counted once."""

_ENDS = (b"\r\n", b"\n", b"")


class HeadReader:
    """File of a request's head, whose lines are counted as they are read.

    Args:
        fp: File of the connection.
        holding: What the connection holds in memory, to which the head is added.
        max_bytes: Largest head, without the first line and the empty one.

    Attributes:
        is_cut: Whether the connection ended within the head.
    """

    __slots__ = (
        "_fp",
        "_holding",
        "_max_bytes",
        "_n_bytes",
        "_n_lines",
        "_n_overhead",
        "is_cut",
    )

    def __init__(self, fp: Any, holding: Holding, max_bytes: int) -> None:
        self._fp = fp
        self._holding = holding
        self._max_bytes = max_bytes
        self._n_overhead = holding.n_overhead
        self._n_bytes = 0
        self._n_lines = 0
        self.is_cut = False

    def readline(self, size: int = -1) -> bytes:
        """Return the next line, empty at the end of the connection.

        Raises:
            OversizedMessageError: If the head is larger than it may be, of which the
                rest has been read, so that the caller gets its refusal; or if the
                connection was evicted.
        """
        line: bytes = self._fp.readline(size)
        self._n_lines += 1
        if line in _ENDS:
            self.is_cut = not line
            self._count()
            return line
        self._n_bytes += len(line)
        if self._n_bytes > self._max_bytes:
            self._skip_rest()
            raise OversizedMessageError(
                f"the head is over {self._max_bytes} bytes, the largest allowed"
            )
        if not self._n_lines % LINES_PER_COUNT:
            self._count()
            # What was evicted to make room is given back when its green thread runs.
            eventlet.sleep(0)
        return line

    def _count(self) -> None:
        # Lines are held as bytes and as text at once.
        n_bytes = self._n_lines * LINE_COST_BYTES + 2 * self._n_bytes
        self._holding.resize_overhead(self._n_overhead + n_bytes)
        self._holding.check()

    def _skip_rest(self) -> None:
        while self._n_bytes <= MAX_HEAD_BYTES:
            line = self._fp.readline(MAX_HEAD_BYTES)
            if line in _ENDS:
                return
            self._n_bytes += len(line)
