"""Limit the concurrency of an endpoint that has just started or turned cold."""

from typing import Protocol

# Fraction of the limit that one sample adds to it.
GROWTH_RATIO = 0.25
# Multiple of the baseline above which a latency counts as that of a cold endpoint.
COLD_LATENCY_RATIO = 4.0
BASELINE_EWMA_WEIGHT = 0.05
MIN_BASELINE_SAMPLES = 4


class ConcurrencyLimit(Protocol):
    """A bound on the attempts that an endpoint runs at once."""

    @property
    def limit(self) -> int:
        """Return the present limit, in attempts."""
        ...

    def on_sample(self, latency_s: float, n_running: int) -> bool:
        """Adapt the limit to a latency sample.

        Args:
            latency_s: Seconds between tokens, or of a whole call.
            n_running: Attempts that ran at the same time.

        Returns:
            Whether the endpoint is now suspected to have turned cold.
        """
        ...

    def reset(self) -> None:
        """Treat the endpoint as cold."""
        ...


class SlowStart:
    """A limit that grows with usual latencies and starts over on a latency jump.

    A jump is a latency far above the baseline, a moving average of the samples.

    Args:
        initial_limit: Limit of a cold endpoint, in attempts.
        max_limit: Limit of a warm endpoint, in attempts.
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
        """Return the present limit, in attempts."""
        return self._limit

    def on_sample(self, latency_s: float, n_running: int) -> bool:
        """Raise the limit if it was reached, or reset it on a latency jump."""
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
