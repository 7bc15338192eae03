"""Measure the rate of recent events."""

from collections import deque

from ..core import Clock


class RecentRate:
    """Rate of the events in a sliding window.

    Args:
        clock: Source of time.
        window_s: Length of the window in seconds.
    """

    __slots__ = ("_clock", "_times", "_window_s")

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._times: deque[float] = deque()

    def note(self) -> None:
        """Record an event."""
        self._times.append(self._clock.now())

    @property
    def per_s(self) -> float:
        """Return the events a second, 0 if there was none in the window."""
        while self._times and self._times[0] <= self._clock.now() - self._window_s:
            self._times.popleft()
        return len(self._times) / self._window_s
