"""Merge the ranked items of several teams so that none gets far ahead."""

import heapq
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

T = TypeVar("T")


class RankedItem(Generic[T]):
    """An item of a team.

    Attributes:
        item: The item.
        team: Team that its work is charged to.
        rank: Place by its own merit; the lowest goes first.
        work: Work that it takes.
    """

    __slots__ = ("item", "rank", "team", "work")

    def __init__(
        self, item: T, team: str, rank: tuple[float, ...], work: float
    ) -> None:
        self.item = item
        self.team = team
        self.rank = rank
        self.work = work


def fair_order(
    items: Iterable[RankedItem[T]], work: Mapping[str, float], slack: float
) -> Iterator[T]:
    """Yield items by rank, but none of a team that is far ahead of another.

    Args:
        items: The items.
        work: Work done so far for each of their teams.
        slack: Work by which a team may be ahead of the one with the least that still
            has items.
    """
    by_team: dict[str, deque[RankedItem[T]]] = {}
    for ranked in sorted(items, key=lambda ranked: ranked.rank):
        by_team.setdefault(ranked.team, deque()).append(ranked)
    done = {team: work[team] for team in by_team}
    # All teams by work; an entry is outdated once its team has got more.
    least = [(amount, team) for team, amount in done.items()]
    heapq.heapify(least)
    # Teams that may be too far ahead, by work; the others, by the rank of their first.
    ahead = list(least)
    ready: list[tuple[tuple[float, ...], str]] = []
    while by_team:
        while done.get(least[0][1]) != least[0][0]:
            heapq.heappop(least)
        while ahead and ahead[0][0] <= least[0][0] + slack:
            _, team = heapq.heappop(ahead)
            heapq.heappush(ready, (by_team[team][0].rank, team))
        _, team = heapq.heappop(ready)
        ranked = by_team[team].popleft()
        if by_team[team]:
            done[team] += ranked.work
            heapq.heappush(least, (done[team], team))
            heapq.heappush(ahead, (done[team], team))
        else:
            del by_team[team], done[team]
        yield ranked.item
