"""Count the responses of one version."""

import math

from ..core import Message

# Shorter times are counted as this one, as their logarithm has no meaning.
MIN_TIME_S = 0.001


class Tally(Message):
    """Counts of responses; the counts of gateways add up.

    Attributes:
        n: Responses.
        n_bad: Failed responses among them.
        n_timed: Times that were measured.
        sum_log: Sum of the natural logarithms of the times in seconds.
        sum_log_sq: Sum of the squares of these logarithms.
    """

    __slots__ = ("n", "n_bad", "n_timed", "sum_log", "sum_log_sq")

    def __init__(
        self,
        n: int = 0,
        n_bad: int = 0,
        n_timed: int = 0,
        sum_log: float = 0.0,
        sum_log_sq: float = 0.0,
    ) -> None:
        self.n = n
        self.n_bad = n_bad
        self.n_timed = n_timed
        self.sum_log = sum_log
        self.sum_log_sq = sum_log_sq

    @property
    def mean_log(self) -> float:
        """Return the mean logarithm of the times, 0 without any."""
        return self.sum_log / self.n_timed if self.n_timed else 0.0

    def note(self, *, is_bad: bool) -> None:
        """Count a response."""
        self.n += 1
        self.n_bad += is_bad

    def note_time(self, seconds: float) -> None:
        """Count a time until the first event or the whole response."""
        log = math.log(max(MIN_TIME_S, seconds))
        self.n_timed += 1
        self.sum_log += log
        self.sum_log_sq += log * log

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        pairs = zip(self.values(), other.values(), strict=True)
        return Tally(*(a + b for a, b in pairs))

    def minus(self, other: "Tally") -> "Tally":
        """Return what this tally has beyond an earlier one of the same counter."""
        pairs = zip(self.values(), other.values(), strict=True)
        return Tally(*(a - b for a, b in pairs))
