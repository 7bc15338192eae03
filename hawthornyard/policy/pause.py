"""Notice that this process was paused and holds old news."""

from ..core import Clock

# Ticks come far more often than this.
MIN_PAUSE_S = 1.5
# What peers and the platform have to say is read within this time.
CATCH_UP_S = 1.0


class PauseDetector:
    """Compare the clock with the last tick.

    A process that was stopped and woken finds old work in its inbox before
    the news that forbids it.

    Args:
        clock: Source of time.
        min_pause_s: Gap between ticks that counts as a pause.
        catch_up_s: How long the process distrusts what it knows afterwards.
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
        """Note that the loop runs."""
        self.detect()
        self._ticked_at = self._clock.now()

    def detect(self) -> bool:
        """Return whether a pause came to light just now."""
        now = self._clock.now()
        if self._ticked_at is None or now - self._ticked_at <= self._min_pause_s:
            return False
        self._ticked_at = now
        self._caught_up_at = now + self._catch_up_s
        return True

    def is_catching_up(self) -> bool:
        """Return whether what the process knows may be out of date."""
        self.detect()
        return self._clock.now() < self._caught_up_at
