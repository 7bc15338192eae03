"""Read the heads of requests within limits on their bytes and their cost."""

from typing import Any

from ..errors import OversizedMessageError, RequestError
from ..net import (
    MAX_HEAD_BYTES,
    PROCESS_TURNS,
    FieldLineError,
    Holding,
    Workload,
    check_field_line,
)

LINE_COST_BYTES = 640
"""Memory that a line takes beside its bytes: as read, as parsed, and in the WSGI
environment. A parsed head of 1,000 lines was measured to keep 282 KiB; while it is
parsed, each line is held several times."""

LINES_PER_COUNT = 64
"""Lines after which a head that is being read is counted. An ordinary head has fewer
and is counted once."""

READ_UNITS = 1
"""Units of work to read a line of a head."""

PARSE_UNITS = 3
"""Units of work to parse a line and to put it into the WSGI environment."""

_ENDS = (b"\r\n", b"\n", b"")


class HeadReader:
    """File of a request's head, whose lines are validated and counted as they are read.

    Args:
        fp: File of the connection.
        holding: What the connection holds in memory, to which the head is added.
        workload: Work that the request causes, to which its lines are added.
        max_bytes: Largest head, without the first line and the empty one.

    Attributes:
        is_cut: Whether the connection ended within the head.
    """

    __slots__ = (
        "_error",
        "_fp",
        "_holding",
        "_max_bytes",
        "_n_bytes",
        "_n_lines",
        "_n_overhead",
        "_n_paid",
        "_workload",
        "is_cut",
    )

    def __init__(
        self, fp: Any, holding: Holding, workload: Workload, max_bytes: int
    ) -> None:
        self._fp = fp
        self._error: FieldLineError | None = None
        self._holding = holding
        self._workload = workload
        self._n_paid = 0
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
            RequestError: At the end of the head, if a line of it is no field.
        """
        line: bytes = self._fp.readline(size)
        self._n_lines += 1
        if line in _ENDS:
            self.is_cut = not line
            self._count()
            # The standard library parses the head in one piece after this line.
            self._pay(PARSE_UNITS * self._n_lines)
            if self._error is not None and line:
                raise RequestError(str(self._error))
            return line
        self._n_bytes += len(line)
        if self._n_bytes > self._max_bytes:
            self._skip_rest()
            raise OversizedMessageError(
                f"the head is over {self._max_bytes} bytes, the largest allowed"
            )
        if not self._n_lines % LINES_PER_COUNT:
            self._count()
            self._pay()
        try:
            return check_field_line(line)
        except FieldLineError as exc:
            self._error = self._error or exc
            return line

    def _count(self) -> None:
        # Lines are held as bytes and as text at once.
        n_bytes = self._n_lines * LINE_COST_BYTES + 2 * self._n_bytes
        self._holding.resize_overhead(self._n_overhead + n_bytes)
        self._holding.check()

    def _pay(self, n_units: int = 0) -> None:
        n_lines = self._n_lines - self._n_paid
        self._n_paid = self._n_lines
        PROCESS_TURNS.pay(self._workload, READ_UNITS * n_lines + n_units)
        self._holding.check()

    def _skip_rest(self) -> None:
        while self._n_bytes <= MAX_HEAD_BYTES:
            line = self._fp.readline(MAX_HEAD_BYTES)
            if line in _ENDS:
                return
            self._n_bytes += len(line)
