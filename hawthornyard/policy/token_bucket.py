"""Limit a rate with a token bucket."""

from ..core import Clock

DEFAULT_BURST_S = 2.0
# Units; a bucket with a low rate still holds one whole unit.
MIN_CAPACITY = 1.0


class TokenBucket:
    """A token bucket that refills at a rate and may go into debt.

    Args:
        rate: Units per second.
        clock: Source of time.
        burst_s: Capacity of the bucket, in seconds of its rate.
    """

    __slots__ = ("_burst_s", "_clock", "_level", "_refilled_at", "rate")

    def __init__(
        self, rate: float, clock: Clock, *, burst_s: float = DEFAULT_BURST_S
    ) -> None:
        self.rate = rate
        self._clock = clock
        self._burst_s = burst_s
        self._level = self.capacity
        self._refilled_at = clock.now()

    @property
    def level(self) -> float:
        """Return the units in the bucket, negative for a debt."""
        self._refill()
        return self._level

    @property
    def capacity(self) -> float:
        """Return the most units that the bucket holds."""
        return max(MIN_CAPACITY, self.rate * self._burst_s)

    def wait_s(self, amount: float = 1.0) -> float:
        """Return the seconds until the bucket holds `amount` units, 0 if it does.

        Infinity at a rate of 0.
        """
        missing = amount - self.level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate else float("inf")

    def set_rate(self, rate: float) -> None:
        """Refill at this rate, in units per second, from now on."""
        self._refill()
        self.rate = rate
        self._level = min(self._level, self.capacity)

    def take(self, amount: float = 1.0) -> bool:
        """Take `amount` units if the bucket holds them; return whether it did."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def charge(self, amount: float) -> None:
        """Take `amount` units, even if the level falls below zero."""
        self._refill()
        self._level -= amount

    def has_credit(self) -> bool:
        """Return whether the level is above zero."""
        self._refill()
        return self._level > 0

    def _refill(self) -> None:
        now = self._clock.now()
        refill = (now - self._refilled_at) * self.rate
        self._level = min(self.capacity, self._level + refill)
        self._refilled_at = now
