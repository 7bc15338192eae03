"""Keep requests from an endpoint for as long as it asked for a pause."""

from ..core import Clock

# Longest pause that is kept. An endpoint that gets no requests can't take its pause
# back, so a mistaken value would keep it unused until it starts anew.
MAX_PAUSE_S = 600.0


class RequestedPause:
    """Restriction that allows no request until the pauses that were asked for end.

    Each pause counts from the arrival of its answer, and the one that ends last holds.
    A shorter one that comes later does not take it back: answers may overtake one
    another, and the endpoint meant each of them. Nor does an answer that asks for no
    pause: its request was sent before the pause was known.

    Args:
        clock: Source of time.

    Attributes:
        ends_at: Monotonic time in seconds, minus infinity if none was asked for.
    """

    __slots__ = ("_clock", "ends_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at = float("-inf")

    @property
    def is_in_force(self) -> bool:
        """Return whether the endpoint wants no request now."""
        return self._clock.now() < self.ends_at

    def extend(self, seconds: float) -> bool:
        """Allow no request for a number of seconds, `MAX_PAUSE_S` at most.

        Returns:
            Whether the endpoint pauses for longer than before.
        """
        now = self._clock.now()
        ends_at = now + min(seconds, MAX_PAUSE_S)
        is_longer = ends_at > max(now, self.ends_at)
        if is_longer:
            self.ends_at = ends_at
        return is_longer

    def wait_s(self) -> float:
        """Return the seconds until one more request is allowed, 0 if it is now."""
        return max(0.0, self.ends_at - self._clock.now())

    def note_send(self) -> None:
        """Do nothing: a request does not change it."""
