"""Tell which requests are large among recent ones of their kind."""

from collections import deque

N_RECENT = 64
# The largest tenth counts as large.
LARGE_QUANTILE = 0.9


class RecentSizes:
    """Sizes of recent requests of one kind."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[int] = deque(maxlen=N_RECENT)

    def note(self, size: int) -> None:
        """Record the size of a request."""
        self._recent.append(size)

    def is_large(self, size: int) -> bool:
        """Return whether a size is over that of most and among the largest tenth."""
        ordered = sorted(self._recent)
        if not ordered or size <= ordered[len(ordered) // 2]:
            return False
        return size >= ordered[int(LARGE_QUANTILE * len(ordered))]
