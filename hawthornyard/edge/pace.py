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
# Age up to which a figure is compared with the gaps that are measured.
MAX_CHECK_AGE_S = 0.1
# Measured gaps contradict a figure if they are shorter than this part of what a slow
# machine causes, or longer than this multiple of what a usual one does. While a prompt
# is read, gaps are twice as long as usual.
SHORT_GAP_RATIO = 0.6
LONG_GAP_RATIO = 3.0
# Weight of a gap in the share of contradictions, and the share from which on the
# figures are not used: some 30 contradictions in a row, and few agreeing ones after.
CHECK_WEIGHT = 0.05
MAX_CONTRADICTED = 0.8
# Figures after which the counts are halved, a minute of probes.
MAX_FIGURES = 240
# Weight of a new figure in the mean, which covers the last minute at a figure a second.
MEAN_WEIGHT = 0.05


class PaceCounts:
    """Counts of the figures of an endpoint.

    Attributes:
        n_figures: Number of figures.
        n_slow: Number of those that told of a slow machine.
        sum_slow: Sum of those.
    """

    __slots__ = ("n_figures", "n_slow", "sum_slow")

    def __init__(self) -> None:
        self.n_figures = 0.0
        self.n_slow = 0.0
        self.sum_slow = 0.0

    def note(self, factor: float) -> None:
        """Count a figure; from `MAX_FIGURES` on older ones lose weight."""
        if self.n_figures >= MAX_FIGURES:
            self.n_figures /= 2
            self.n_slow /= 2
            self.sum_slow /= 2
        self.n_figures += 1
        if factor >= SLOW_FACTOR:
            self.n_slow += 1
            self.sum_slow += factor


class Pace:
    """Time that work takes at one endpoint, relative to the usual time there.

    Args:
        clock: Source of time.

    Attributes:
        mean_factor: Moving average of the figures that this gateway read itself, 1.0
            before the first.
        counts: How often those told of a slow machine.
    """

    __slots__ = (
        "_clock",
        "_contradicted",
        "_factor",
        "_read_at",
        "counts",
        "mean_factor",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._factor = 1.0
        self._read_at = float("-inf")
        self.mean_factor = 1.0
        self._contradicted = 0.0
        self.counts = PaceCounts()

    @property
    def age_s(self) -> float:
        """Return the seconds since the newest figure was read."""
        return self._clock.now() - self._read_at

    @property
    def is_fresh(self) -> bool:
        """Return whether the newest figure still tells something of the present."""
        return self.is_trusted and self.age_s <= MAX_PACE_AGE_S

    @property
    def is_trusted(self) -> bool:
        """Return whether the measured gaps do not contradict the figures."""
        return self._contradicted < MAX_CONTRADICTED

    @property
    def factor(self) -> float:
        """Return the newest figure, the mean if it is too old; 1.0 is usual.

        If the figures are not trusted, it is 1.0, so that only what gateways measure
        counts.
        """
        if not self.is_trusted:
            return 1.0
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

    def check(self, gap_ratio: float) -> None:
        """Compare the newest figure with a measured gap.

        Args:
            gap_ratio: Gap between two events, relative to the usual gap there.
        """
        if self.age_s > MAX_CHECK_AGE_S:
            return
        if self._factor >= SLOW_FACTOR:
            is_contradicted = gap_ratio < SHORT_GAP_RATIO * self._factor
        else:
            is_contradicted = gap_ratio > LONG_GAP_RATIO * max(1.0, self._factor)
        self._contradicted += CHECK_WEIGHT * (is_contradicted - self._contradicted)

    def learn(self, factor: float, read_at: float, *, is_own: bool = True) -> bool:
        """Record a figure of the endpoint.

        Args:
            factor: Time that work takes there, relative to the usual time.
            read_at: Monotonic time in seconds at which the figure held.
            is_own: Whether this gateway read it. Others tell only of slowness, which
                would make the mean too high.

        Returns:
            Whether it was taken: it is not older than the newest, nor out of bounds.
        """
        if not MIN_FACTOR <= factor <= MAX_FACTOR or read_at < self._read_at:
            return False
        self._factor = factor
        self._read_at = read_at
        if is_own:
            self.mean_factor += MEAN_WEIGHT * (factor - self.mean_factor)
            self.counts.note(factor)
        return True
