"""Track how long work takes at an endpoint at this moment."""

from ..core import Clock

# Beyond this age a figure tells nothing of the present: a machine is slow for some
# 0.6 s at a time.
MAX_PACE_AGE_S = 0.6
# Figures beyond these bounds are taken for faults of the endpoint. Machines were seen
# to take up to 2.5 times as long as usual.
MIN_FACTOR = 0.2
MAX_FACTOR = 10.0
# From this factor on an endpoint counts as slow in logs and metrics.
SLOW_FACTOR = 1.5
# Weight of a new figure in the mean, which covers the last minute at a figure a second.
MEAN_WEIGHT = 0.05


class Pace:
    """Time that work takes at one endpoint, relative to the usual time there.

    Args:
        clock: Source of time.

    Attributes:
        mean_factor: Moving average of the figures, 1.0 before the first.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._factor = 1.0
        self._read_at = float("-inf")
        self.mean_factor = 1.0

    @property
    def age_s(self) -> float:
        """Return the seconds since the newest figure was read."""
        return self._clock.now() - self._read_at

    @property
    def is_fresh(self) -> bool:
        """Return whether the newest figure still tells something of the present."""
        return self.age_s <= MAX_PACE_AGE_S

    @property
    def factor(self) -> float:
        """Return the newest figure, the mean if it is too old; 1.0 is usual."""
        return self._factor if self.is_fresh else self.mean_factor

    @property
    def is_slow(self) -> bool:
        """Return whether work takes much longer than usual."""
        return self.is_fresh and self.factor >= SLOW_FACTOR

    @property
    def is_reported(self) -> bool:
        """Return whether a figure of the endpoint has arrived at least once."""
        return self._read_at > float("-inf")

    @property
    def shown(self) -> float | None:
        """Return the newest figure for logs, None if it is too old."""
        return round(self._factor, 2) if self.is_fresh else None

    def learn(self, factor: float, read_at: float) -> bool:
        """Record a figure of the endpoint.

        Args:
            factor: Time that work takes there, relative to the usual time.
            read_at: Monotonic time in seconds at which the figure held.

        Returns:
            Whether it was taken: it is not older than the newest, nor out of bounds.
        """
        if not MIN_FACTOR <= factor <= MAX_FACTOR or read_at < self._read_at:
            return False
        self._factor = factor
        self._read_at = read_at
        self.mean_factor += MEAN_WEIGHT * (factor - self.mean_factor)
        return True
