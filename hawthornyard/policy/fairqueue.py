"""Order waiting work by priority and fairly among teams."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

T = TypeVar("T")

PRIORITY_WEIGHT_S = 2.0


class Queue(Protocol[T]):
    """Hold work until it can begin."""

    def push(self, item: T, team: str, *, weight: float, priority: int) -> None:
        """Append work of a team."""
        ...

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Return the next item that can begin, or None."""
        ...


class Waiting(Generic[T]):
    """One item in a queue with its start tag."""

    __slots__ = ("item", "priority", "tag", "team")

    def __init__(self, item: T, team: str, tag: float, priority: int) -> None:
        self.item = item
        self.team = team
        self.tag = tag
        self.priority = priority


class FairQueue(Generic[T]):
    """Start-time fair queueing with a head start for higher priority.

    A team's tag advances by the cost of its work over its weight; the item
    with the lowest tag goes first. A priority step is worth a fixed amount
    of tag, so that a low-priority item is overtaken only for a while.
    """

    __slots__ = ("_finish_tags", "_teams", "_virtual")

    def __init__(self) -> None:
        self._teams: dict[str, deque[Waiting[T]]] = {}
        self._finish_tags: dict[str, float] = {}
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(len(items) for items in self._teams.values())

    def __iter__(self) -> Iterator[T]:
        for items in self._teams.values():
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
    ) -> None:
        """Append work of a team.

        Args:
            item: The work.
            team: Who pays for it.
            weight: Share of the team.
            priority: Larger goes earlier.
            cost: Expected amount of work.
        """
        start = max(self._virtual, self._finish_tags.get(team, 0.0))
        self._finish_tags[team] = start + cost / weight
        waiting = Waiting(item, team, start - priority * PRIORITY_WEIGHT_S, priority)
        self._teams.setdefault(team, deque()).append(waiting)

    def pop(self, can_begin: Callable[[T], bool]) -> T | None:
        """Return the first item in order that can begin, or None."""
        for waiting in self._in_order():
            if can_begin(waiting.item):
                self._take(waiting)
                return waiting.item
        return None

    def discard(self, unwanted: Callable[[T], bool]) -> list[T]:
        """Remove and return the items for which `unwanted` holds."""
        removed: list[T] = []
        for team, items in list(self._teams.items()):
            kept: deque[Waiting[T]] = deque()
            for waiting in items:
                if unwanted(waiting.item):
                    removed.append(waiting.item)
                else:
                    kept.append(waiting)
            self._replace(team, kept)
        return removed

    def _in_order(self) -> list[Waiting[T]]:
        every = [waiting for items in self._teams.values() for waiting in items]
        return sorted(every, key=lambda waiting: waiting.tag)

    def _take(self, waiting: Waiting[T]) -> None:
        items = self._teams[waiting.team]
        items.remove(waiting)
        self._replace(waiting.team, items)
        start = waiting.tag + waiting.priority * PRIORITY_WEIGHT_S
        self._virtual = max(self._virtual, start)

    def _replace(self, team: str, items: deque[Waiting[T]]) -> None:
        if items:
            self._teams[team] = items
            return
        self._teams.pop(team, None)
        if self._finish_tags.get(team, 0.0) <= self._virtual:
            self._finish_tags.pop(team, None)
