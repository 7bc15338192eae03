"""Estimate of the endpoint's load that did not come from this sidecar."""

from collections import deque

MAX_REPORT_AGE_S = 2.0


class ExternalLoad:
    """Estimator of sequences at the endpoint beyond the sidecar's own attempts.

    A restarted sidecar finds work that its previous process sent. Load reports
    lag, so each is compared with the maximum number of own attempts over the
    period that the report may refer to.

    Args:
        max_report_age_s: Maximum age of a load report in seconds.

    Attributes:
        n_running: Estimated number of sequences, running or waiting there, that are
            not attempts of this process.
    """

    __slots__ = ("_max_report_age_s", "_own_history", "n_running")

    def __init__(self, *, max_report_age_s: float = MAX_REPORT_AGE_S) -> None:
        self._max_report_age_s = max_report_age_s
        self._own_history: deque[tuple[float, int]] = deque()
        self.n_running = 0

    def record_own_running(self, n_running: int, now: float) -> None:
        """Record how many own attempts run at `now`, in monotonic seconds."""
        self._own_history.append((now, n_running))
        while (
            self._own_history[0][0] < now - self._max_report_age_s
            and len(self._own_history) > 1
        ):
            self._own_history.popleft()

    def record_report(self, n_reported: int) -> None:
        """Update the estimate from the number of sequences in a load report."""
        max_own = max((n_running for _, n_running in self._own_history), default=0)
        self.n_running = max(0, n_reported - max_own)
