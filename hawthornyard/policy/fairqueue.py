"""Order waiting work by priority, and fairly among teams by work done."""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from ..core import Clock

T = TypeVar("T")

AGEING_S = 4.0
PATIENCE_S = 30.0
MAX_SHARES = 4096
_COMPACT_FACTOR = 4
_COMPACT_MINIMUM = 64


class Queue(Protocol[T]):
    """Hold work until it can begin."""

    def push(
        self,
        item: T,
        team: str,
        *,
        weight: float,
        priority: int,
        cost: float,
        lane: str,
    ) -> None:
        """Append work of a team."""
        ...

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Return the next item that can begin, or None."""
        ...

    def charge(self, team: str, amount: float) -> None:
        """Correct the work done for a team."""
        ...


class _Waiting(Generic[T]):
    __slots__ = ("cost", "item", "since", "team")

    def __init__(self, item: T, team: str, cost: float, since: float) -> None:
        self.item = item
        self.team = team
        self.cost = cost
        self.since = since


class _Share:
    """The work done for one team over its weight."""

    __slots__ = ("n_waiting", "tag", "weight")

    def __init__(self, tag: float, weight: float) -> None:
        self.tag = tag
        self.weight = weight
        self.n_waiting = 0


class _Band(Generic[T]):
    """The waiting items of one lane and priority, by team."""

    __slots__ = ("_heap", "lane", "priority", "since", "teams")

    def __init__(self, lane: str, priority: int) -> None:
        self.lane = lane
        self.priority = priority
        self.since = 0.0
        self.teams: dict[str, deque[_Waiting[T]]] = {}
        self._heap: list[tuple[float, str]] = []

    def rank(self, team: str, tag: float) -> None:
        """Note the tag of a team that waits here."""
        heapq.heappush(self._heap, (tag, team))

    def head(self, shares: dict[str, _Share]) -> _Waiting[T]:
        """Return the first item of the team that was given the least work."""
        while True:
            tag, team = self._heap[0]
            if team in self.teams and shares[team].tag == tag:
                return self.teams[team][0]
            heapq.heappop(self._heap)

    def compact(self, shares: dict[str, _Share]) -> None:
        """Drop outdated ranks once they outnumber the teams."""
        if len(self._heap) < _COMPACT_MINIMUM + _COMPACT_FACTOR * len(self.teams):
            return
        self._heap = [(shares[team].tag, team) for team in self.teams]
        heapq.heapify(self._heap)


class FairQueue(Generic[T]):
    """Serve the team that was given the least work for its weight.

    Higher priority goes first; a priority that has not been served gains one
    step for each `ageing_s`, so that none starves. Items of one lane can
    begin under the same conditions: a lane whose first item has waited in
    vain for longer than `patience_s` is held, so that smaller items behind
    it do not take all the room that it waits for.

    Args:
        clock: Source of time.
        ageing_s: Seconds of waiting worth one step of priority.
        patience_s: Seconds after which a first item holds its lane.
    """

    __slots__ = (
        "_ageing_s",
        "_bands",
        "_clock",
        "_n",
        "_patience_s",
        "_shares",
        "_virtual",
    )

    def __init__(
        self,
        clock: Clock,
        *,
        ageing_s: float = AGEING_S,
        patience_s: float = PATIENCE_S,
    ) -> None:
        self._clock = clock
        self._ageing_s = ageing_s
        self._patience_s = patience_s
        self._bands: dict[tuple[str, int], _Band[T]] = {}
        self._shares: dict[str, _Share] = {}
        self._virtual = 0.0
        self._n = 0

    def __len__(self) -> int:
        return self._n

    def __iter__(self) -> Iterator[T]:
        for band in self._bands.values():
            for items in band.teams.values():
                for waiting in items:
                    yield waiting.item

    def push(
        self,
        item: T,
        team: str,
        *,
        weight: float = 1.0,
        priority: int = 0,
        cost: float = 1.0,
        lane: str = "",
    ) -> None:
        """Append work of a team.

        Args:
            item: The work.
            team: Who pays for it.
            weight: Share of the team.
            priority: Larger goes earlier.
            cost: Expected amount of work; `charge` corrects it later.
            lane: Items of one lane can begin under the same conditions.
        """
        now = self._clock.now()
        share = self._share(team, weight)
        share.n_waiting += 1
        band = self._bands.get((lane, priority))
        if band is None:
            band = self._bands[lane, priority] = _Band(lane, priority)
            band.since = now
        if team not in band.teams:
            band.teams[team] = deque()
            band.rank(team, share.tag)
        band.teams[team].append(_Waiting(item, team, cost, now))
        self._n += 1

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Return the first item in order that can begin, or None.

        Args:
            can_begin: Asked for the first item of each lane and priority only.
        """
        now = self._clock.now()
        held: set[str] = set()
        for band in sorted(self._bands.values(), key=self._urgency):
            if band.lane in held:
                continue
            waiting = band.head(self._shares)
            if can_begin(waiting.item):
                self._take(band, waiting, now)
                return waiting.item
            if now - waiting.since > self._patience_s:
                held.add(band.lane)
        return None

    def charge(self, team: str, amount: float) -> None:
        """Correct the work done for a team, in the unit of `cost`."""
        share = self._shares.get(team)
        if share is None:
            share = self._shares[team] = _Share(self._floor(), 1.0)
        self._move(team, share, amount)

    def discard(self, unwanted: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which `unwanted` holds."""
        removed: list[T] = []
        for band in list(self._bands.values()):
            for team, items in list(band.teams.items()):
                kept = deque(w for w in items if not unwanted(w.item))
                if len(kept) == len(items):
                    continue
                removed += [w.item for w in items if unwanted(w.item)]
                self._shares[team].n_waiting -= len(items) - len(kept)
                self._n -= len(items) - len(kept)
                self._replace(band, team, kept)
        return removed

    def _urgency(self, band: _Band[T]) -> float:
        waited_s = self._clock.now() - band.since
        return -(band.priority + waited_s / self._ageing_s)

    def _share(self, team: str, weight: float) -> _Share:
        share = self._shares.get(team)
        if share is None:
            self._forget_idle()
            share = self._shares[team] = _Share(0.0, weight)
        share.weight = weight
        if not share.n_waiting:
            # A team that returns has no claim to the time it did not use.
            share.tag = max(share.tag, self._floor())
        return share

    def _floor(self) -> float:
        tags = [
            self._shares[band.head(self._shares).team].tag
            for band in self._bands.values()
        ]
        self._virtual = max(self._virtual, min(tags, default=0.0))
        return self._virtual

    def _take(self, band: _Band[T], waiting: _Waiting[T], now: float) -> None:
        team = waiting.team
        share = self._shares[team]
        self._floor()
        items = band.teams[team]
        items.popleft()
        share.n_waiting -= 1
        self._n -= 1
        band.since = now
        self._replace(band, team, items)
        self._move(team, share, waiting.cost)

    def _move(self, team: str, share: _Share, amount: float) -> None:
        share.tag += amount / share.weight
        for band in self._bands.values():
            if team in band.teams:
                band.rank(team, share.tag)
                band.compact(self._shares)

    def _replace(self, band: _Band[T], team: str, items: deque[_Waiting[T]]) -> None:
        if items:
            band.teams[team] = items
            return
        del band.teams[team]
        if not band.teams:
            del self._bands[band.lane, band.priority]

    def _forget_idle(self) -> None:
        if len(self._shares) < MAX_SHARES:
            return
        floor = self._floor()
        for team, share in list(self._shares.items()):
            if not share.n_waiting and share.tag <= floor:
                del self._shares[team]
