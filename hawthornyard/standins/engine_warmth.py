"""Model an engine that bears little until it has worked for a while."""

BEARS_ALL = 1 << 30


class Warmth:
    """Tell how many sequences a cold engine bears.

    Args:
        cold_bears: Sequences that it bears at the start.
        full_bears: Sequences that it bears when nearly warm.
        warm_up_s: Seconds of work until it is warm; 0 for warm at once.
    """

    __slots__ = ("_cold_bears", "_full_bears", "_warm_up_s", "_worked_s")

    def __init__(self, cold_bears: int, full_bears: int, warm_up_s: float) -> None:
        self._cold_bears = cold_bears
        self._full_bears = full_bears
        self._warm_up_s = warm_up_s
        self._worked_s = 0.0

    @property
    def bears(self) -> int:
        """Return the sequences that the engine bears now."""
        if self._worked_s >= self._warm_up_s:
            return BEARS_ALL
        share = self._worked_s / self._warm_up_s
        return self._cold_bears + int(share * (self._full_bears - self._cold_bears))

    def work(self, seconds: float) -> None:
        """Warm up by a time of work within what the engine bears."""
        self._worked_s += seconds

    def warm_up(self) -> None:
        """Become warm at once."""
        self._worked_s = self._warm_up_s

    def turn_cold(self) -> None:
        """Forget all work."""
        self._worked_s = 0.0
