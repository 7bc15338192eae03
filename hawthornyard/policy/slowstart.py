"""Limit an endpoint that has just started, and one that turned cold."""

from typing import Protocol

GROWTH_RATIO = 0.25
COLD_LATENCY_RATIO = 4.0
BASELINE_EWMA_WEIGHT = 0.05
MIN_BASELINE_SAMPLES = 4


class ConcurrencyLimit(Protocol):
    """Bound the attempts that an endpoint runs at once."""

    @property
    def limit(self) -> int:
        """Return the bound that holds now."""
        ...

    def on_sample(self, latency_s: float, n_running: int) -> bool:
        """Take a latency as evidence.

        Args:
            latency_s: Time between tokens, or of a whole call.
            n_running: Attempts that ran meanwhile.

        Returns:
            Whether the endpoint is now suspected to have turned cold.
        """
        ...

    def reset(self) -> None:
        """Assume that the endpoint is cold."""
        ...


class SlowStart:
    """Grow the limit on good latencies and fall back on a jump.

    Args:
        initial_limit: Limit of a cold endpoint.
        max_limit: Limit of a warm endpoint.
    """

    __slots__ = ("_baseline_s", "_initial_limit", "_limit", "_max_limit", "_n_samples")

    def __init__(self, initial_limit: int, max_limit: int) -> None:
        self._initial_limit = initial_limit
        self._max_limit = max(initial_limit, max_limit)
        self._limit = initial_limit
        self._baseline_s = 0.0
        self._n_samples = 0

    @property
    def limit(self) -> int:
        """Return the bound that holds now."""
        return self._limit

    def on_sample(self, latency_s: float, n_running: int) -> bool:
        """Grow by a share if the limit was in use, or reset on a jump."""
        if self._is_latency_jump(latency_s):
            self.reset()
            return True
        self._update_baseline(latency_s)
        if n_running >= self._limit:
            growth = max(1, int(GROWTH_RATIO * self._limit))
            self._limit = min(self._max_limit, self._limit + growth)
        return False

    def reset(self) -> None:
        """Return to the limit of a cold endpoint and forget the baseline."""
        self._limit = self._initial_limit
        self._baseline_s = 0.0
        self._n_samples = 0

    def _is_latency_jump(self, latency_s: float) -> bool:
        if self._n_samples < MIN_BASELINE_SAMPLES:
            return False
        return latency_s > COLD_LATENCY_RATIO * self._baseline_s

    def _update_baseline(self, latency_s: float) -> None:
        self._n_samples += 1
        weight = max(BASELINE_EWMA_WEIGHT, 1.0 / self._n_samples)
        self._baseline_s += weight * (latency_s - self._baseline_s)
