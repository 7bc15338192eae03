"""Event loop of a discrete-event simulation."""

import heapq
from collections.abc import Callable

from hawthornyard.core import ManualClock


class EventLoop:
    """A queue of events ordered by their simulated time.

    Attributes:
        clock: Simulated clock, which shows the time of the running event.
    """

    __slots__ = ("_events", "_n_events", "clock")

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action; actions for the same time run in order of these calls."""
        self._n_events += 1
        heapq.heappush(self._events, (at_s, self._n_events, action))

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run an action at an interval forever."""

        def run_and_reschedule() -> None:
            action()
            self.at(self.clock.now() + interval_s, run_and_reschedule)

        self.at(self.clock.now() + interval_s, run_and_reschedule)

    def run(self, until: float) -> None:
        """Run all events before `until`, in seconds."""
        while self._events and self._events[0][0] < until:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            action()
