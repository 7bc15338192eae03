"""Collect the responses of both versions by time and route."""

from collections.abc import Sequence

from .tally import Tally

# Least length of a period. A fault that both versions share for a second must not count
# against the one that had more traffic in it.
MIN_PERIOD_S = 0.5
# Most periods of one rollout; the cost of a verdict grows with them.
MAX_PERIODS = 30


def period_length_s(duration_s: float) -> float:
    """Return the length of the periods of a rollout in seconds."""
    return max(MIN_PERIOD_S, duration_s / MAX_PERIODS)


class Period:
    """Responses to the requests that were sent in one period.

    Requests are counted where they were sent, not where they ended: while the share of
    a version falls, those of its requests that end late are the slow ones.

    Attributes:
        old: Tallies of the old versions, by route.
        new: Tallies of the new version, by route.
    """

    __slots__ = ("new", "old")

    def __init__(self) -> None:
        self.old: dict[str, Tally] = {}
        self.new: dict[str, Tally] = {}


class Evidence:
    """Responses of both versions of one rollout.

    Args:
        length_s: Length of a period in seconds.

    Attributes:
        length_s: Length of a period in seconds.
        n_new: Responses of the new version.
        n_bad_new: Failed responses among them.
    """

    __slots__ = ("_periods", "length_s", "n_bad_new", "n_new")

    def __init__(self, length_s: float) -> None:
        self.length_s = length_s
        self._periods: dict[int, Period] = {}
        self.n_new = 0
        self.n_bad_new = 0

    def add(self, sent_at: float, route: str, *, is_new: bool, tally: Tally) -> None:
        """Add responses.

        Args:
            sent_at: Monotonic time in seconds at which the requests were sent.
            route: Name of the route.
            is_new: Whether they are of the new version.
            tally: The responses.
        """
        period = self._periods.setdefault(int(sent_at / self.length_s), Period())
        by_route = period.new if is_new else period.old
        by_route[route] = by_route.get(route, Tally()).plus(tally)
        if is_new:
            self.n_new += tally.n
            self.n_bad_new += tally.n_bad

    def all(self) -> Sequence[Period]:
        """Return all periods."""
        return list(self._periods.values())

    def since(self, at: float) -> Sequence[Period]:
        """Return the periods that end after a time."""
        first = int(at / self.length_s)
        return [period for index, period in self._periods.items() if index >= first]
