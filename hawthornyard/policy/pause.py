"""Detect pauses of this process, after which its state may be outdated."""

from ..core import Clock

# Ticks are far more frequent, so a longer gap between them is a pause.
MIN_PAUSE_S = 1.5
# Enough to read what peers and the platform sent during the pause.
CATCH_UP_S = 1.0


class PauseDetector:
    """A detector of pauses from the time since the last tick.

    A process that was stopped and continued finds old work in its inbox before
    the messages that revoke it.

    Args:
        clock: Source of time.
        min_pause_s: Seconds between ticks beyond which the gap is a pause.
        catch_up_s: Seconds after a pause in which state may be outdated.
    """

    __slots__ = ("_catch_up_s", "_caught_up_at", "_clock", "_min_pause_s", "_ticked_at")

    def __init__(
        self,
        clock: Clock,
        *,
        min_pause_s: float = MIN_PAUSE_S,
        catch_up_s: float = CATCH_UP_S,
    ) -> None:
        self._clock = clock
        self._min_pause_s = min_pause_s
        self._catch_up_s = catch_up_s
        self._ticked_at: float | None = None
        self._caught_up_at = clock.now()

    def on_tick(self) -> None:
        """Record a tick of the loop."""
        self.detect()
        self._ticked_at = self._clock.now()

    def detect(self) -> bool:
        """Return whether there was a pause since the last tick; True once per pause."""
        now = self._clock.now()
        if self._ticked_at is None or now - self._ticked_at <= self._min_pause_s:
            return False
        self._ticked_at = now
        self._caught_up_at = now + self._catch_up_s
        return True

    def is_catching_up(self) -> bool:
        """Return whether the state of this process may be outdated after a pause."""
        self.detect()
        return self._clock.now() < self._caught_up_at
