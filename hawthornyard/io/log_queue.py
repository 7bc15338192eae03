"""Write log lines without blocking, within limits on rate and memory."""

from collections import deque
from typing import Any

import eventlet
from eventlet import patcher

from ..core import Clock
from ..policy import TokenBucket

# eventlet's patched `os.write` waits while a pipe is full; the original raises
# `BlockingIOError`.
os = patcher.original("os")

MAX_LINES_PER_S = 400.0
"""Rate limit of lines below WARNING; a gateway writes about 100 a second at peak."""

BURST_S = 2.0
"""Burst size in seconds of the rate; many streams may migrate, and log, at once."""

MAX_QUEUED_BYTES = 1_048_576
"""Limit on bytes that wait for a slow reader of the log."""

WRITE_RETRY_INTERVAL_S = 0.05
"""Wait before the next write to a full pipe."""

DROP_REPORT_INTERVAL_S = 1.0
"""Shortest time between two reports of dropped lines."""


class LogQueue:
    """Queue of log lines that a green thread writes; lines over a limit are dropped.

    Args:
        fd: File descriptor that lines are written to.
        clock: Source of time.
        format_report: Returns the log line that reports a number of dropped lines.

    Attributes:
        n_dropped: Number of lines dropped since the start.
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
        """Queue a line, or drop it if it is over a limit.

        Args:
            line: The line, with its newline.
            skips_rate_limit: Whether only the limit on queued bytes applies.
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
        """Write as much as the pipe takes without waiting, at process exit."""
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
            # The reader is gone, and there is nowhere else to report that.
            n_written = len(data)
        self._lines.clear()
        self._n_bytes = len(data) - n_written
        if self._n_bytes:
            self._lines.append(data[n_written:])
        return True
