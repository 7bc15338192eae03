"""Count work at the endpoint that this sidecar did not send."""

from collections import deque

MAX_REPORT_AGE_S = 2.0


class ExternalLoad:
    """What a lagged load report shows beyond the sidecar's own attempts.

    A new sidecar finds work there that an earlier process sent.

    Args:
        max_report_age_s: Age of the oldest report that can arrive.
    """

    __slots__ = ("_max_report_age_s", "_own_history", "n_running")

    def __init__(self, *, max_report_age_s: float = MAX_REPORT_AGE_S) -> None:
        self._max_report_age_s = max_report_age_s
        self._own_history: deque[tuple[float, int]] = deque()
        self.n_running = 0

    def record_own_running(self, n_running: int, now: float) -> None:
        """Note how many of the sidecar's attempts run now."""
        self._own_history.append((now, n_running))
        while (
            self._own_history[0][0] < now - self._max_report_age_s
            and len(self._own_history) > 1
        ):
            self._own_history.popleft()

    def record_report(self, n_reported: int) -> None:
        """Compare a report with the most that the sidecar ran meanwhile."""
        max_own = max((n_running for _, n_running in self._own_history), default=0)
        self.n_running = max(0, n_reported - max_own)
