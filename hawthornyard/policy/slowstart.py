"""Limit an endpoint that has just started, and one that turned cold."""

from typing import Protocol

GROWTH_SHARE = 0.25
COLD_RATIO = 4.0
BASELINE_WEIGHT = 0.05
MIN_SAMPLES = 4


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
        initial: Limit of a cold endpoint.
        maximum: Limit of a warm endpoint.
    """

    __slots__ = ("_baseline_s", "_initial", "_limit", "_maximum", "_n_samples")

    def __init__(self, initial: int, maximum: int) -> None:
        self._initial = initial
        self._maximum = max(initial, maximum)
        self._limit = initial
        self._baseline_s = 0.0
        self._n_samples = 0

    @property
    def limit(self) -> int:
        """Return the bound that holds now."""
        return self._limit

    def on_sample(self, latency_s: float, n_running: int) -> bool:
        """Grow by a share if the limit was in use, or reset on a jump."""
        if self._is_jump(latency_s):
            self.reset()
            return True
        self._learn(latency_s)
        if n_running >= self._limit:
            growth = max(1, int(GROWTH_SHARE * self._limit))
            self._limit = min(self._maximum, self._limit + growth)
        return False

    def reset(self) -> None:
        """Return to the limit of a cold endpoint and forget the baseline."""
        self._limit = self._initial
        self._baseline_s = 0.0
        self._n_samples = 0

    def _is_jump(self, latency_s: float) -> bool:
        if self._n_samples < MIN_SAMPLES:
            return False
        return latency_s > COLD_RATIO * self._baseline_s

    def _learn(self, latency_s: float) -> None:
        self._n_samples += 1
        weight = max(BASELINE_WEIGHT, 1.0 / self._n_samples)
        self._baseline_s += weight * (latency_s - self._baseline_s)
