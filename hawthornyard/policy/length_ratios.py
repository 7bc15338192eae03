"""Learn how far callers' estimates of output lengths are off."""

import math
from collections import deque

N_RECENT = 64
MIN_SEEN = 8


class LengthRatios:
    """Ratios of the length of recent outputs to the estimates of their callers."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[float] = deque(maxlen=N_RECENT)

    def observe(self, n_tokens: int, n_estimated: int) -> None:
        """Record the length of one output and its estimate, both in tokens."""
        self._recent.append(n_tokens / max(1, n_estimated))

    def quantile(self, share: float) -> float:
        """Return the ratio that a share of the outputs stays below.

        Args:
            share: Share from 0 to 1.

        Returns:
            The ratio; infinite until `MIN_SEEN` outputs were seen.
        """
        if len(self._recent) < MIN_SEEN:
            return math.inf
        ordered = sorted(self._recent)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
