"""Meter a rate with a token bucket."""

from ..core import Clock

BURST_S = 2.0


class TokenBucket:
    """A bucket that refills at a rate and may go into debt.

    Args:
        rate: Units a second.
        clock: Source of time.
        burst: Units that it holds when full; two seconds' worth by default.
    """

    __slots__ = ("_burst", "_clock", "_filled_at", "_level", "rate")

    def __init__(self, rate: float, clock: Clock, *, burst: float | None = None):
        self.rate = rate
        self._clock = clock
        self._burst = max(1.0, rate * BURST_S if burst is None else burst)
        self._level = self._burst
        self._filled_at = clock.now()

    def take(self, amount: float = 1.0) -> bool:
        """Take `amount` units if the bucket holds them."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float) -> None:
        """Take `amount` units, into debt if need be."""
        self._refill()
        self._level -= amount

    def is_positive(self) -> bool:
        """Return whether the bucket is out of debt."""
        self._refill()
        return self._level > 0

    def _refill(self) -> None:
        now = self._clock.now()
        earned = (now - self._filled_at) * self.rate
        self._level = min(self._burst, self._level + earned)
        self._filled_at = now
