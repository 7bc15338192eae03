"""Write log lines without ever blocking, within a bounded volume."""

from collections import deque
from typing import Any

import eventlet
from eventlet import patcher

from ..core import Clock
from ..policy import TokenBucket

# The patched module waits for a full pipe instead of saying so.
os = patcher.original("os")

MAX_LINES_PER_S = 400.0
"""Lines of level INFO a second; a gateway at its busiest hour writes some 100."""

BURST_S = 2.0
"""A second's lines may come at once, twice over, when many streams move together."""

MAX_QUEUED_BYTES = 1_048_576
"""Bytes that may wait for a reader that is slow."""

WRITE_RETRY_INTERVAL_S = 0.05
"""Wait before writing again to a pipe that is full."""

DROP_REPORT_INTERVAL_S = 1.0
"""Time between two lines that tell how many were dropped."""


class LogQueue:
    """Hold lines until a green thread has written them; drop what is too much.

    Args:
        fd: File descriptor that lines are written to.
        clock: Source of time.
        format_report: Returns the line that tells how many lines were dropped.

    Attributes:
        n_dropped: Lines that were dropped since the start.
    """

    __slots__ = (
        "_bucket",
        "_clock",
        "_fd",
        "_format_report",
        "_lines",
        "_n_bytes",
        "_n_reported",
        "_reported_at",
        "_writer",
        "n_dropped",
    )

    def __init__(self, fd: int, clock: Clock, format_report: Any) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = clock
        self._format_report = format_report
        self._bucket = TokenBucket(MAX_LINES_PER_S, clock, burst_s=BURST_S)
        self._lines: deque[bytes] = deque()
        self._n_bytes = 0
        self._writer: Any = None
        self._reported_at = 0.0
        self._n_reported = 0
        self.n_dropped = 0

    def put(self, line: str, *, skips_rate_limit: bool) -> None:
        """Queue a line, or drop it.

        Args:
            line: The line, with its end.
            skips_rate_limit: Whether only a reader that is too slow may drop it.
        """
        data = line.encode()
        if not skips_rate_limit and not self._bucket.take():
            self.n_dropped += 1
        elif self._n_bytes + len(data) > MAX_QUEUED_BYTES:
            self.n_dropped += 1
        else:
            self._append(data)
        self._report_dropped()

    def flush(self) -> None:
        """Write what can be written at once; for the end of the process."""
        while self._lines and self._try_write():
            pass

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._n_bytes += len(data)
        if self._writer is None:
            self._writer = eventlet.spawn(self._run)

    def _report_dropped(self) -> None:
        now = self._clock.now()
        if (
            self.n_dropped == self._n_reported
            or now < self._reported_at + DROP_REPORT_INTERVAL_S
        ):
            return
        line: str = self._format_report(self.n_dropped - self._n_reported)
        self._n_reported = self.n_dropped
        self._reported_at = now
        self._append(line.encode())

    def _run(self) -> None:
        try:
            while self._lines:
                if not self._try_write():
                    eventlet.sleep(WRITE_RETRY_INTERVAL_S)
        finally:
            self._writer = None

    def _try_write(self) -> bool:
        data = b"".join(self._lines)
        try:
            n_written = os.write(self._fd, data)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads the log any longer, and there is no other place to say so.
            n_written = len(data)
        self._lines.clear()
        self._n_bytes = len(data) - n_written
        if self._n_bytes:
            self._lines.append(data[n_written:])
        return True
