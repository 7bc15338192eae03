"""Measure the time between tokens over all attempts that run."""

from collections.abc import Iterable

from ..messages import Attempt

WINDOW_S = 0.5


class InterTokenLatency:
    """The gap between tokens in windows of time.

    Args:
        window_s: Length of a window.
    """

    __slots__ = ("_counts", "_window_s", "_window_start")

    def __init__(self, *, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._window_start = 0.0
        self._counts: dict[str, int] = {}

    def sample(self, running: Iterable[Attempt], now: float) -> float | None:
        """Return the mean gap of the window that ends now, in seconds.

        Returns:
            None while the window lasts, or if no attempt generated through it.
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
    common = before.keys() & after.keys()
    advances = [after[key] - before[key] for key in common]
    moving = [n_tokens for n_tokens in advances if n_tokens]
    if not common:
        return None
    if not moving:
        return elapsed_s
    return len(moving) * elapsed_s / sum(moving)
