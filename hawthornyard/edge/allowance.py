"""Decide when an endpoint may get its next request."""

from collections import deque
from typing import Protocol

from ..core import Clock
from .named_limit import NamedLimit
from .requested_pause import RequestedPause

# Window over which the requests to a cold endpoint are counted.
COLD_WINDOW_S = 1.0


class Restriction(Protocol):
    """Reason for which an endpoint may not get a request yet."""

    def wait_s(self) -> float:
        """Return the seconds until one more request is allowed, 0 if it is now."""
        ...

    def note_send(self) -> None:
        """Record that this gateway sends a request to the endpoint."""
        ...


class Backoff:
    """Restriction that allows no request for some time.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = float("-inf")

    def extend(self, seconds: float) -> None:
        """Allow no request for a number of seconds, or longer if that is in force."""
        self._until = max(self._until, self._clock.now() + seconds)

    def wait_s(self) -> float:
        """Return the seconds that are left."""
        return max(0.0, self._until - self._clock.now())

    def note_send(self) -> None:
        """Do nothing: a request does not change it."""


class ColdRate:
    """Restriction of the requests to an endpoint that is cold.

    Args:
        clock: Source of time.

    Attributes:
        per_window: Requests of this gateway in any `COLD_WINDOW_S`, None for no limit.
    """

    __slots__ = ("_clock", "_sent_at", "_until", "per_window")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = float("-inf")
        self._sent_at: deque[float] = deque()
        self.per_window: float | None = None

    @property
    def is_in_force(self) -> bool:
        """Return whether the endpoint is cold."""
        return self._clock.now() < self._until

    def set_remaining(self, seconds: float) -> None:
        """Record that the endpoint stays cold for a number of seconds."""
        self._until = self._clock.now() + seconds

    def wait_s(self) -> float:
        """Return the seconds until one more request is allowed, 0 if it is now."""
        if self.per_window is None or not self.is_in_force:
            return 0.0
        now = self._clock.now()
        while self._sent_at and self._sent_at[0] <= now - COLD_WINDOW_S:
            self._sent_at.popleft()
        if len(self._sent_at) + 1 <= self.per_window:
            return 0.0
        return min(self._sent_at[0] + COLD_WINDOW_S, self._until) - now

    def note_send(self) -> None:
        """Count a request while the endpoint is cold."""
        if self.is_in_force:
            self._sent_at.append(self._clock.now())
        else:
            self._sent_at.clear()


class Allowance:
    """All restrictions of one endpoint.

    Args:
        clock: Source of time.

    Attributes:
        backoff: Time for which this gateway sends it nothing.
        cold: Its request rate while it is cold.
        limit: The limit that it named.
        pause: The pause that it asked for.
    """

    __slots__ = ("_restrictions", "backoff", "cold", "limit", "pause")

    def __init__(self, clock: Clock) -> None:
        self.backoff = Backoff(clock)
        self.cold = ColdRate(clock)
        self.limit = NamedLimit(clock)
        self.pause = RequestedPause(clock)
        self._restrictions: tuple[Restriction, ...] = (
            self.backoff,
            self.cold,
            self.limit,
            self.pause,
        )

    def wait_s(self) -> float:
        """Return the seconds until one more request is allowed, 0 if it is now."""
        return max(restriction.wait_s() for restriction in self._restrictions)

    def note_send(self) -> None:
        """Record that this gateway sends a request to the endpoint."""
        for restriction in self._restrictions:
            restriction.note_send()
