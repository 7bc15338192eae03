"""Judge the new version of a service by comparison with the old ones.

Load pattern: few responses of the new version beside ten times as many of the old,
while faults, cold starts and load change for both. All comparisons are made within a
route and a period, and only what they add up to is tested.
"""

import math
from collections.abc import Iterator, Sequence

from ..core import Message
from .evidence import Period
from .tally import Tally

# Least ratio of times that counts as slow: bad versions respond 1.5 times slower or
# more, and machines of one kind differ by up to 1.3.
SLOW_RATIO = 1.35
# Least times of each version on a route that are compared.
MIN_TIMED = 8
# Variance of the logarithm of times that is assumed at least, so that responses of
# nearly constant time do not make a small difference certain.
MIN_LOG_VARIANCE = 0.01
# Most failures of both versions for which the exact distribution is computed; it takes
# 2 ms, and beyond the normal approximation is within a hundredth.
MAX_EXACT = 300


class Strictness:
    """How sure a verdict must be.

    Attributes:
        p: Largest probability of the failures of the new version, if it were as good
            as the old.
        z: Least standard errors by which its times are longer.
        ratio: Least ratio of its times to those of the old.
    """

    __slots__ = ("p", "ratio", "z")

    def __init__(self, p: float, z: float, ratio: float) -> None:
        self.p = p
        self.z = z
        self.ratio = ratio


# In force while the test goes on; it is asked some fifty times.
RUNNING = Strictness(0.0005, 4.0, SLOW_RATIO)
# In force once, at the end of the test: two failures of the new version and none of
# ten times as many responses of the old are enough.
FINAL = Strictness(0.01, 3.0, SLOW_RATIO)
# The share does not grow while the new version looks like this.
SUSPECT = Strictness(0.05, 2.0, 1.2)


class Verdict(Message):
    """Result of a comparison.

    Attributes:
        is_bad: Whether the new version is worse.
        reason: What it is worse at, empty if it is not.
        p: Probability of its failures if it were as good as the old.
        ratio: Largest significant ratio of its times, 1 if there is none.
    """

    __slots__ = ("is_bad", "reason", "p", "ratio")

    def __init__(self, is_bad: bool, reason: str, p: float, ratio: float) -> None:
        self.is_bad = is_bad
        self.reason = reason
        self.p = p
        self.ratio = ratio


def judge(periods: Sequence[Period], strictness: Strictness) -> Verdict:
    """Compare both versions over some periods, all routes together and each alone."""
    routes = sorted({route for period in periods for route in period.new})
    if not routes:
        return Verdict(False, "", 1.0, 1.0)
    p_all = _failure_p(periods, routes)
    worst_p, worst_route = min(
        (_failure_p(periods, [route]), route) for route in routes
    )
    # One of many routes looks bad by chance more often than all together.
    worst_p = min(1.0, worst_p * len(routes))
    p = min(p_all, worst_p)
    if p < strictness.p:
        where = "all routes" if p_all <= worst_p else f"route {worst_route}"
        return Verdict(True, f"more failures on {where}", p, 1.0)
    for group in [routes, *([route] for route in routes)]:
        ratio, z = _slowness(periods, group)
        if z > strictness.z and ratio > strictness.ratio:
            where = f"route {group[0]}" if len(group) == 1 else "all routes"
            return Verdict(True, f"slower on {where}", p, ratio)
    return Verdict(False, "", p, 1.0)


def _cells(
    periods: Sequence[Period], routes: Sequence[str]
) -> Iterator[tuple[Tally, Tally]]:
    for period in periods:
        for route in routes:
            if route in period.new and route in period.old:
                yield period.old[route], period.new[route]


def _failure_p(periods: Sequence[Period], routes: Sequence[str]) -> float:
    # Probability that of the failures of both as many or more fall to the new version.
    cells = list(_cells(periods, routes))
    n_bad_new = sum(new.n_bad for _, new in cells)
    if not n_bad_new:
        return 1.0
    if not any(old.n_bad for old, _ in cells):
        # Nothing that both share varies with time: all periods count as one.
        n_new = sum(new.n for _, new in cells)
        return (n_new / (n_new + sum(old.n for old, _ in cells))) ** n_bad_new
    chances = [
        (old.n_bad + new.n_bad, new.n / (old.n + new.n))
        for old, new in cells
        if old.n_bad or new.n_bad
    ]
    if sum(n for n, _ in chances) <= MAX_EXACT:
        return _exact_tail(chances, n_bad_new)
    mean = sum(n * chance for n, chance in chances)
    variance = sum(n * chance * (1.0 - chance) for n, chance in chances)
    z = (n_bad_new - 0.5 - mean) / math.sqrt(max(variance, 1e-9))
    return 0.5 * math.erfc(z / math.sqrt(2.0))


def _exact_tail(chances: Sequence[tuple[int, float]], least: int) -> float:
    # below[k]: probability that exactly k failures fell to the new version, k < least.
    below = [1.0] + [0.0] * (least - 1)
    for n, chance in chances:
        for _ in range(n):
            for k in range(least - 1, 0, -1):
                below[k] += chance * (below[k - 1] - below[k])
            below[0] *= 1.0 - chance
    return max(0.0, 1.0 - sum(below))


def _slowness(periods: Sequence[Period], routes: Sequence[str]) -> tuple[float, float]:
    # Ratio of the times, and by how many standard errors it is above 1.
    weight = difference = squares = 0.0
    n_old = n_new = n_means = 0
    for old, new in _cells(periods, routes):
        if not old.n_timed or not new.n_timed:
            continue
        cell_weight = old.n_timed * new.n_timed / (old.n_timed + new.n_timed)
        weight += cell_weight
        difference += cell_weight * (new.mean_log - old.mean_log)
        squares += sum(
            tally.sum_log_sq - tally.sum_log * tally.mean_log for tally in (old, new)
        )
        n_old += old.n_timed
        n_new += new.n_timed
        n_means += 2
    if n_old < MIN_TIMED or n_new < MIN_TIMED:
        return 1.0, 0.0
    variance = max(MIN_LOG_VARIANCE, squares / max(1, n_old + n_new - n_means))
    mean = difference / weight
    return math.exp(mean), mean / math.sqrt(variance / weight)
