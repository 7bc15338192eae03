"""Order waiting work by priority, and by weighted fair queueing among teams."""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

from ..core import Clock

T = TypeVar("T")

AGEING_S_PER_STEP = 4.0
RESERVE_AFTER_S = 30.0
# From this many accounts on, a new team's first item drops the accounts of teams
# without waiting work whose virtual work is not above the virtual time.
IDLE_CLEANUP_MIN_ACCOUNTS = 4096
# A heap is rebuilt without its outdated entries once it has the minimum plus this
# many entries per team.
_COMPACT_PER_TEAM = 4
_COMPACT_MIN = 64


class Queue(Protocol[T]):
    """A queue of work that waits until it can begin."""

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
        """Append an item of work of a team."""
        ...

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Remove and return the next item that can begin, or None."""
        ...

    def charge(self, team: str, amount: float) -> None:
        """Add an amount, negative for a refund, to the work done for a team."""
        ...


class _Entry(Generic[T]):
    __slots__ = ("cost", "item", "queued_at", "team")

    def __init__(self, item: T, team: str, cost: float, queued_at: float) -> None:
        self.item = item
        self.team = team
        self.cost = cost
        self.queued_at = queued_at


class _Account:
    """The work done for one team.

    Attributes:
        virtual_work: Cost of the work done, divided by the weight of the team, and
            raised to the virtual time when the team returns from idle.
        weight: Weight of the team relative to the others.
        n_waiting: Items of the team that wait.
    """

    __slots__ = ("n_waiting", "virtual_work", "weight")

    def __init__(self, virtual_work: float, weight: float) -> None:
        self.virtual_work = virtual_work
        self.weight = weight
        self.n_waiting = 0


class _SubQueue(Generic[T]):
    """The waiting items of one lane and priority, by team.

    A heap orders the teams by virtual work. A charge adds a new entry for its
    team; the outdated one is skipped when it comes up.

    Attributes:
        served_at: Monotonic seconds when an item was last taken or, before
            that, when the first was queued.
        teams: Items of each team that has any, first in first out.
    """

    __slots__ = ("_heap", "lane", "priority", "served_at", "teams")

    def __init__(self, lane: str, priority: int) -> None:
        self.lane = lane
        self.priority = priority
        self.served_at = 0.0
        self.teams: dict[str, deque[_Entry[T]]] = {}
        self._heap: list[tuple[float, str]] = []

    def push_team(self, team: str, virtual_work: float) -> None:
        """Add a heap entry for a team that has items here."""
        heapq.heappush(self._heap, (virtual_work, team))

    def head(self, accounts: dict[str, _Account]) -> _Entry[T]:
        """Return the first item of the team with the least virtual work."""
        while True:
            virtual_work, team = self._heap[0]
            if team in self.teams and accounts[team].virtual_work == virtual_work:
                return self.teams[team][0]
            heapq.heappop(self._heap)

    def compact(self, accounts: dict[str, _Account]) -> None:
        """Rebuild the heap once outdated entries far outnumber the teams."""
        if len(self._heap) < _COMPACT_MIN + _COMPACT_PER_TEAM * len(self.teams):
            return
        self._heap = [(accounts[team].virtual_work, team) for team in self.teams]
        heapq.heapify(self._heap)


class FairQueue(Generic[T]):
    """A weighted fair queue over teams, with priorities that age.

    Higher priority goes first. Priorities age: the items of a lane and priority
    gain one step every `ageing_s_per_step` seconds in which none of them is taken,
    so that no priority starves. Within a lane and priority, the team with the least
    virtual work goes first. The virtual work of a team that had no waiting work is
    raised to the virtual time, which follows the least virtual work of the waiting
    teams and never falls.

    Items of one lane can begin under the same conditions. Once the first item
    of a lane has waited longer than `reserve_after_s` and still cannot begin,
    items behind it in the lane no longer overtake it. Otherwise a stream of
    smaller items could keep taking the capacity that the first item waits for.

    Args:
        clock: Source of time.
        ageing_s_per_step: Seconds without service that add a step of priority.
        reserve_after_s: Seconds of waiting after which a first item may no
            longer be overtaken.
    """

    __slots__ = (
        "_accounts",
        "_ageing_s_per_step",
        "_clock",
        "_n_items",
        "_reserve_after_s",
        "_sub_queues",
        "_virtual_time",
    )

    def __init__(
        self,
        clock: Clock,
        *,
        ageing_s_per_step: float = AGEING_S_PER_STEP,
        reserve_after_s: float = RESERVE_AFTER_S,
    ) -> None:
        self._clock = clock
        self._ageing_s_per_step = ageing_s_per_step
        self._reserve_after_s = reserve_after_s
        self._sub_queues: dict[tuple[str, int], _SubQueue[T]] = {}
        self._accounts: dict[str, _Account] = {}
        self._virtual_time = 0.0
        self._n_items = 0

    def __len__(self) -> int:
        return self._n_items

    def __iter__(self) -> Iterator[T]:
        for sub_queue in self._sub_queues.values():
            for entries in sub_queue.teams.values():
                for entry in entries:
                    yield entry.item

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
        """Append an item of work of a team.

        Args:
            item: The work.
            team: Team that the work is charged to.
            weight: Weight of the team; twice the weight gets twice the work.
            priority: Larger values go first.
            cost: Expected work, such as tokens; `charge` corrects it later.
            lane: Name shared by items that can begin under the same conditions.
        """
        now = self._clock.now()
        account = self._account(team, weight)
        account.n_waiting += 1
        sub_queue = self._sub_queues.get((lane, priority))
        if sub_queue is None:
            sub_queue = self._sub_queues[lane, priority] = _SubQueue(lane, priority)
            sub_queue.served_at = now
        if team not in sub_queue.teams:
            sub_queue.teams[team] = deque()
            sub_queue.push_team(team, account.virtual_work)
        sub_queue.teams[team].append(_Entry(item, team, cost, now))
        self._n_items += 1

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Remove and return the first item in order that can begin, or None.

        Args:
            can_begin: Tells whether an item can begin; called only with the
                first item of each lane and priority.
        """
        now = self._clock.now()
        reserved_lanes: set[str] = set()
        order = sorted(
            self._sub_queues.values(), key=lambda item: self._order_key(item, now)
        )
        for sub_queue in order:
            if sub_queue.lane in reserved_lanes:
                continue
            entry = sub_queue.head(self._accounts)
            if can_begin(entry.item):
                self._remove_head(sub_queue, entry, now)
                return entry.item
            if now - entry.queued_at > self._reserve_after_s:
                reserved_lanes.add(sub_queue.lane)
        return None

    def charge(self, team: str, amount: float) -> None:
        """Add an amount to the work done for a team.

        Args:
            team: Team that the work is charged to.
            amount: Work in the unit of `cost`; negative for a refund.
        """
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(self._advance_virtual_time(), 1.0)
        self._charge_account(team, account, amount)

    def discard(self, predicate: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which `predicate` holds.

        Args:
            predicate: Called once with each item; its answer may change meanwhile.
        """
        removed: list[T] = []
        for sub_queue in list(self._sub_queues.values()):
            for team, entries in list(sub_queue.teams.items()):
                kept: deque[_Entry[T]] = deque()
                n_removed = len(removed)
                for entry in entries:
                    if predicate(entry.item):
                        removed.append(entry.item)
                    else:
                        kept.append(entry)
                if len(removed) == n_removed:
                    continue
                self._accounts[team].n_waiting -= len(entries) - len(kept)
                self._n_items -= len(entries) - len(kept)
                self._set_entries(sub_queue, team, kept)
        return removed

    def _order_key(self, sub_queue: _SubQueue[T], now: float) -> float:
        waited_s = now - sub_queue.served_at
        return -(sub_queue.priority + waited_s / self._ageing_s_per_step)

    def _account(self, team: str, weight: float) -> _Account:
        account = self._accounts.get(team)
        if account is None:
            self._drop_idle_accounts()
            account = self._accounts[team] = _Account(0.0, weight)
        account.weight = weight
        if not account.n_waiting:
            # Idle time earns no credit: a returning team starts at the virtual time.
            account.virtual_work = max(
                account.virtual_work, self._advance_virtual_time()
            )
        return account

    def _advance_virtual_time(self) -> float:
        heads_work = [
            self._accounts[sub_queue.head(self._accounts).team].virtual_work
            for sub_queue in self._sub_queues.values()
        ]
        self._virtual_time = max(self._virtual_time, min(heads_work, default=0.0))
        return self._virtual_time

    def _remove_head(
        self, sub_queue: _SubQueue[T], entry: _Entry[T], now: float
    ) -> None:
        team = entry.team
        account = self._accounts[team]
        self._advance_virtual_time()
        entries = sub_queue.teams[team]
        entries.popleft()
        account.n_waiting -= 1
        self._n_items -= 1
        sub_queue.served_at = now
        self._set_entries(sub_queue, team, entries)
        self._charge_account(team, account, entry.cost)

    def _charge_account(self, team: str, account: _Account, amount: float) -> None:
        account.virtual_work += amount / account.weight
        for sub_queue in self._sub_queues.values():
            if team in sub_queue.teams:
                sub_queue.push_team(team, account.virtual_work)
                sub_queue.compact(self._accounts)

    def _set_entries(
        self, sub_queue: _SubQueue[T], team: str, entries: deque[_Entry[T]]
    ) -> None:
        if entries:
            sub_queue.teams[team] = entries
            return
        del sub_queue.teams[team]
        if not sub_queue.teams:
            del self._sub_queues[sub_queue.lane, sub_queue.priority]

    def _drop_idle_accounts(self) -> None:
        if len(self._accounts) < IDLE_CLEANUP_MIN_ACCOUNTS:
            return
        virtual_time = self._advance_virtual_time()
        for team, account in list(self._accounts.items()):
            if not account.n_waiting and account.virtual_work <= virtual_time:
                del self._accounts[team]
