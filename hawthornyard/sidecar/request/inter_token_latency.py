"""Inter-token latency of the endpoint."""

from collections.abc import Iterable

from ..messages import Attempt

WINDOW_S = 0.5


class InterTokenLatency:
    """Mean time between tokens of running generations, measured in windows.

    Args:
        window_s: Length of a window in seconds.
    """

    __slots__ = ("_counts", "_window_s", "_window_start")

    def __init__(self, *, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._window_start = 0.0
        self._counts: dict[str, int] = {}

    def sample(self, running: Iterable[Attempt], now: float) -> float | None:
        """Return the mean inter-token latency of the window that ends now.

        Args:
            running: Attempts that run.
            now: Monotonic time in seconds.

        Returns:
            Seconds between tokens, or the length of the window if no running
            generation made progress. None while the window lasts, or if no
            generation had output at both its start and its end.
        """
        elapsed_s = now - self._window_start
        if elapsed_s < self._window_s:
            return None
        before = self._counts
        self._window_start = now
        self._counts = {
            attempt.attempt_id: len(attempt.texts)
            for attempt in running
            if attempt.texts
        }
        return _mean_gap_s(before, self._counts, elapsed_s)


def _mean_gap_s(
    before: dict[str, int], after: dict[str, int], elapsed_s: float
) -> float | None:
    shared_ids = before.keys() & after.keys()
    token_counts = [after[key] - before[key] for key in shared_ids]
    positive_counts = [n_tokens for n_tokens in token_counts if n_tokens]
    if not shared_ids:
        return None
    if not positive_counts:
        return elapsed_s
    return len(positive_counts) * elapsed_s / sum(positive_counts)
