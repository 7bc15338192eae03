"""Queue items for one green thread."""

from collections import deque
from typing import Any, Generic, TypeVar

import eventlet
from eventlet import hubs

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Hold items, without bound, until their one consumer takes them.

    It does what `eventlet.queue.LightQueue` does for many consumers at a
    fraction of the cost of a wake-up.
    """

    __slots__ = ("_items", "_waiter")

    def __init__(self) -> None:
        self._items: deque[T] = deque()
        self._waiter: Any = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: T) -> None:
        """Append an item without waiting."""
        self._items.append(item)
        waiter = self._waiter
        if waiter is not None:
            self._waiter = None
            hubs.get_hub().schedule_call_global(0, waiter.switch)

    def take(self) -> T:
        """Wait for the next item and take it."""
        if not self._items:
            self._wait()
        return self._items.popleft()

    def take_all(self) -> list[T]:
        """Wait for the next item and take all that are there."""
        if not self._items:
            self._wait()
        items = list(self._items)
        self._items.clear()
        return items

    def _wait(self) -> None:
        try:
            while not self._items:
                self._waiter = eventlet.getcurrent()
                hubs.get_hub().switch()
        finally:
            self._waiter = None
