"""Limit the retries of each service."""

from collections import deque

from ..core import Clock


class _Window:
    """Times of the requests and retries of one service in the window."""

    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def forget_before(self, at: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < at:
                times.popleft()


class SharedRetryBudget:
    """This gateway's part of the retry budget that all gateways share.

    Args:
        clock: Source of time.

    Attributes:
        n_gateways: Gateways among which the slack is divided.
    """

    __slots__ = ("_clock", "_ratio", "_slack", "_window_s", "_windows", "n_gateways")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ratio = 0.0
        self._slack = 0.0
        self._window_s = 0.0
        self._windows: dict[str, _Window] = {}
        self.n_gateways = 1

    def set_limits(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits; until the first call, nothing may be retried.

        Args:
            ratio: Retries allowed per request in the window.
            slack: Additional retries allowed per window, for all gateways together.
            window_s: Length of the sliding window in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def note_request(self, service: str) -> None:
        """Count a request for a service."""
        self._window(service).requests.append(self._clock.now())

    def take(self, service: str) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        window = self._window(service)
        allowed = self._ratio * len(window.requests) + self._slack / self.n_gateways
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(self._clock.now())
        return True

    def _window(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        window.forget_before(self._clock.now() - self._window_s)
        return window
