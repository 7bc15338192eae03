"""Count work at the endpoint that this sidecar did not send."""

from collections import deque

REPORT_AGE_S = 2.0


class OutsideLoad:
    """What a lagged load report shows beyond the sidecar's own attempts.

    A new sidecar finds work there that an earlier process sent.

    Args:
        report_age_s: Age of the oldest report that can arrive.
    """

    __slots__ = ("_own", "_report_age_s", "n_running")

    def __init__(self, *, report_age_s: float = REPORT_AGE_S) -> None:
        self._report_age_s = report_age_s
        self._own: deque[tuple[float, int]] = deque()
        self.n_running = 0

    def on_own(self, n_running: int, now: float) -> None:
        """Note how many of the sidecar's attempts run now."""
        self._own.append((now, n_running))
        while self._own[0][0] < now - self._report_age_s and len(self._own) > 1:
            self._own.popleft()

    def on_report(self, n_reported: int) -> None:
        """Compare a report with the most that the sidecar ran meanwhile."""
        most = max((n_running for _, n_running in self._own), default=0)
        self.n_running = max(0, n_reported - most)
