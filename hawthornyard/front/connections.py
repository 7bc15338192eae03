"""Bound the connections of a server."""

from typing import Any

import eventlet

from ..net import PROCESS_BUDGET, Holding, total_bytes


class ConnectionPool(eventlet.GreenPool):  # type: ignore[misc]
    """Green threads of a server's connections.

    When there are as many as the server may have, one ends for each new one, so that
    clients that stay can't keep the others out. That is the oldest that never sent a
    request, else the one that holds the most.

    Args:
        size: Connections that the server may have.

    Attributes:
        is_stopping: Whether all connections that have arrived are taken at once, as
            the server stops.
        n_evicted: Connections that ended for a new one.
    """

    def __init__(self, size: int) -> None:
        super().__init__(size)
        self.is_stopping = False
        self.n_evicted = 0
        self._unused: dict[Holding, None] = {}
        self._used: dict[Holding, None] = {}

    def spawn(self, function: Any, *args: Any, **kwargs: Any) -> Any:
        """Run a function in a green thread, after making room for it."""
        if not self.free():
            self._evict()
        thread = super().spawn(function, *args, **kwargs)
        # What is evicted to make room is given back when its green thread has run, so
        # that many connections that come at once must not be taken in one turn.
        if not self.is_stopping:
            eventlet.sleep(0)
        return thread

    def add(self, holding: Holding) -> None:
        """Register a connection that has not sent a request."""
        self._unused[holding] = None

    def use(self, holding: Holding) -> None:
        """Note that a connection has sent the first line of a request."""
        if holding in self._unused:
            del self._unused[holding]
            self._used[holding] = None

    def remove(self, holding: Holding) -> None:
        """Leave out a connection that has ended."""
        self._unused.pop(holding, None)
        self._used.pop(holding, None)

    def _evict(self) -> None:
        candidates = self._unused or self._used
        open_ones = [held for held in candidates if not held.is_evicted]
        if open_ones:
            self.n_evicted += 1
            PROCESS_BUDGET.evict(max(open_ones, key=total_bytes))
