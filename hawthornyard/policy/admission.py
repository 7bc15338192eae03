"""Order requests that wait for capacity, and tell refused ones when to return."""

from collections import deque
from collections.abc import Iterator
from math import floor, log
from typing import Generic, TypeVar

from .fair_order import RankedItem, fair_order

T = TypeVar("T")

# Work by which a team may be ahead of the waiting team with the least, as a multiple of
# the largest that waits: a team with one request at a time never waits for its turn.
FAIRNESS_SLACK = 2.0
# Ratio of two requests' work from which the smaller goes first. It is more than the
# sizes of one kind differ, so that the largest of a kind don't go last.
WORK_STEP = 8.0
# Clients honour Retry-After up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05
# Clients may come back this much before the time that they were told, as it is rounded.
RETURN_TOLERANCE_S = 0.02
# Refused clients that are remembered; beyond it the oldest lose their turn.
MAX_REFUSED = 4096
# Fraction of the golden ratio: its multiples modulo 1 are spread evenly.
GOLDEN_FRACTION = 0.618034


class Waiting(Generic[T]):
    """An item that waits for capacity.

    Attributes:
        item: The work.
        lane: Name shared by items that start at the same endpoints.
        team: Team that the work is charged to.
        priority: Scheduling priority; 0 goes first.
        size: Memory that it needs, in tokens.
        work: Capacity that it takes: its size, at least 1, times its seconds.
        queued_at: Monotonic time in seconds at which it was queued.
        target_start: Latest start in monotonic seconds with which it meets its target.
        latest_start: Latest start in monotonic seconds with which it is served.
        turn_s: Seconds since the first refusal of a client that has come back, 0 for
            a new one.
        forecast_start: Start that was forecast as it was queued, in monotonic seconds.
    """

    __slots__ = (
        "forecast_start",
        "item",
        "lane",
        "latest_start",
        "priority",
        "queued_at",
        "size",
        "target_start",
        "team",
        "turn_s",
        "work",
    )

    def __init__(
        self,
        item: T,
        team: str,
        *,
        lane: str = "",
        priority: int = 0,
        size: int = 0,
        work: float = 1.0,
        queued_at: float = 0.0,
        target_start: float = 0.0,
        latest_start: float = 0.0,
        turn_s: float = 0.0,
    ) -> None:
        self.item = item
        self.team = team
        self.lane = lane
        self.priority = priority
        self.size = size
        self.work = work
        self.queued_at = queued_at
        self.target_start = target_start
        self.latest_start = latest_start
        self.turn_s = turn_s
        self.forecast_start = queued_at

    def rank(self, now: float) -> tuple[int, bool, int, float]:
        """Return its place among all that wait; the lowest goes first.

        A late response is worth little, so one that can meet its target goes before
        one that can't. Of those that can, much less work goes first, since the same
        capacity then serves more of them in time. Among equals, the one that loses
        first goes first.
        """
        is_late = now > self.target_start
        due = self.latest_start if is_late else self.target_start
        step = 0 if is_late else round(log(max(1.0, self.work), WORK_STEP))
        return self.priority, is_late, step, due - self.turn_s


class UrgencyQueue(Generic[T]):
    """A queue ordered by priority, then by what is lost by waiting, fair among teams.

    Addresses bursts of several kinds: with first in, first out, all requests of a burst
    wait equally and most miss their targets; here those that can meet them do. A team
    that is ahead of the waiting teams of its priority by more than `FAIRNESS_SLACK` has
    to wait for them, so a flood of one team delays only that team.
    """

    __slots__ = ("_items", "_virtual_time", "_work")

    def __init__(self) -> None:
        # The values are not used: a dictionary keeps the order and removes at once.
        self._items: dict[Waiting[T], None] = {}
        # Work of the teams, kept for those that wait or are ahead of the virtual time.
        self._work: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[Waiting[T]]:
        yield from list(self._items)

    def __contains__(self, waiting: Waiting[T]) -> bool:
        return waiting in self._items

    def push(self, waiting: Waiting[T]) -> None:
        """Append an item; idle time earned its team no credit."""
        if all(other.team != waiting.team for other in self._items):
            work = self._work.get(waiting.team, 0.0)
            self._work[waiting.team] = max(work, self._virtual_time)
        self._items[waiting] = None

    def take(self, waiting: Waiting[T]) -> None:
        """Remove an item that starts, and charge its team."""
        self._virtual_time = max(self._virtual_time, self._least_work())
        del self._items[waiting]
        self._work[waiting.team] += waiting.work
        self._forget_idle()

    def discard(self, waiting: Waiting[T]) -> None:
        """Remove an item that does not start."""
        del self._items[waiting]

    def in_order(self, now: float) -> Iterator[Waiting[T]]:
        """Yield the items in the order in which they would start.

        Args:
            now: Monotonic time in seconds.
        """
        by_priority: dict[int, list[Waiting[T]]] = {}
        for waiting in self._items:
            by_priority.setdefault(waiting.priority, []).append(waiting)
        for priority in sorted(by_priority):
            yield from self._fair_order(by_priority[priority], now)

    def _fair_order(self, items: list[Waiting[T]], now: float) -> Iterator[Waiting[T]]:
        ranked = [
            RankedItem(waiting, waiting.team, waiting.rank(now), waiting.work)
            for waiting in items
        ]
        slack = FAIRNESS_SLACK * max(waiting.work for waiting in items)
        return fair_order(ranked, self._work, slack)

    def _least_work(self) -> float:
        return min((self._work[item.team] for item in self._items), default=0.0)

    def _forget_idle(self) -> None:
        waiting = {item.team for item in self._items}
        self._work = {
            team: work
            for team, work in self._work.items()
            if team in waiting or work > self._virtual_time
        }


class _Refusal:
    """A refused client that may come back."""

    __slots__ = ("ends_at", "refused_at", "return_at")

    def __init__(self, refused_at: float, return_at: float, ends_at: float) -> None:
        self.refused_at = refused_at
        self.return_at = return_at
        self.ends_at = ends_at


class ReturnTimes:
    """The times at which refused clients are told to come back.

    Addresses clients that retry: told the same time, all of a burst would come back
    together. Each is told the time at which capacity is forecast for it, behind those
    that were refused before. A client that comes back is known by team and route; it
    keeps the turn that it had when it was refused.
    """

    __slots__ = ("_n_promised", "_n_refusals", "_next_at", "_refusals")

    def __init__(self) -> None:
        self._n_promised = 0
        self._n_refusals = 0
        self._next_at: dict[str, float] = {}
        self._refusals: dict[tuple[str, str], deque[_Refusal]] = {}

    def promise(
        self,
        lane: str,
        client: tuple[str, str],
        now: float,
        *,
        forecast_s: float,
        spacing_s: float,
        left_s: float,
        turn_s: float = 0.0,
    ) -> float:
        """Return after how many seconds a refused client should come back.

        Args:
            lane: Name shared by requests that start at the same endpoints.
            client: Team and route of the client.
            now: Monotonic time in seconds.
            forecast_s: Seconds until capacity for it is forecast, may be infinite.
            spacing_s: Seconds in which capacity for one more request is freed.
            left_s: Seconds until its deadline.
            turn_s: Seconds since its first refusal, 0 if this is the first.
        """
        at = max(now + forecast_s, self._next_at.get(lane, 0.0) + spacing_s)
        longest_s = MAX_RETRY_AFTER_SHARE * left_s
        self._n_promised += 1
        if at - now <= longest_s:
            self._next_at[lane] = at
        else:
            # A later time is not honoured; such clients spread over what is.
            part = 0.5 + 0.5 * (self._n_promised * GOLDEN_FRACTION % 1.0)
            at = now + part * longest_s
        retry_after_s = min(longest_s, max(MIN_RETRY_AFTER_S, at - now))
        # Rounded down, since a client does not honour more than its third.
        retry_after_s = floor(100 * retry_after_s) / 100
        refusal = _Refusal(now - turn_s, now + retry_after_s, now + left_s)
        self._remember(client, refusal)
        return retry_after_s

    def claim(self, client: tuple[str, str], now: float) -> float:
        """Return the seconds since the refusal of a client that comes back.

        Returns:
            Seconds, 0 if no refused client of this team and route is due back.
        """
        refusals = self._refusals.get(client, ())
        for refusal in list(refusals):
            if refusal.ends_at <= now:
                self._forget(client, refusal)
            elif refusal.return_at - RETURN_TOLERANCE_S <= now:
                self._forget(client, refusal)
                return now - refusal.refused_at
        return 0.0

    def _remember(self, client: tuple[str, str], refusal: _Refusal) -> None:
        self._refusals.setdefault(client, deque()).append(refusal)
        self._n_refusals += 1
        if self._n_refusals > MAX_REFUSED:
            oldest = next(iter(self._refusals))
            self._forget(oldest, self._refusals[oldest][0])

    def _forget(self, client: tuple[str, str], refusal: _Refusal) -> None:
        self._n_refusals -= 1
        self._refusals[client].remove(refusal)
        if not self._refusals[client]:
            del self._refusals[client]
