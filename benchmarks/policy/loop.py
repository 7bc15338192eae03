"""Run events in order of time."""

import heapq
from collections.abc import Callable

from hawthornyard.core import ManualClock


class EventLoop:
    """A queue of events and the clock that they move.

    Attributes:
        clock: Time of the event that runs.
    """

    __slots__ = ("_events", "_n_events", "clock")

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run `action` at a time; those of one time run in order of this call."""
        self._n_events += 1
        heapq.heappush(self._events, (at_s, self._n_events, action))

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run `action` at an interval for ever."""

        def run_and_reschedule() -> None:
            action()
            self.at(self.clock.now() + interval_s, run_and_reschedule)

        self.at(self.clock.now() + interval_s, run_and_reschedule)

    def run(self, until: float) -> None:
        """Run all events before a time."""
        while self._events and self._events[0][0] < until:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now()))
            action()
