"""Model an engine that bears little until it has worked for a while."""

UNLIMITED_BATCH = 1 << 30


class WarmUp:
    """Tell how many sequences a cold engine bears.

    Args:
        cold_batch_limit: Sequences that it bears at the start.
        warm_batch_limit: Sequences that it bears when nearly warm.
        warm_up_s: Seconds of work until it is warm; 0 for warm at once.
    """

    __slots__ = ("_cold_batch_limit", "_warm_batch_limit", "_warm_up_s", "_worked_s")

    def __init__(
        self, cold_batch_limit: int, warm_batch_limit: int, warm_up_s: float
    ) -> None:
        self._cold_batch_limit = cold_batch_limit
        self._warm_batch_limit = warm_batch_limit
        self._warm_up_s = warm_up_s
        self._worked_s = 0.0

    @property
    def batch_limit(self) -> int:
        """Return the sequences that the engine bears now."""
        if self._worked_s >= self._warm_up_s:
            return UNLIMITED_BATCH
        share = self._worked_s / self._warm_up_s
        return self._cold_batch_limit + int(
            share * (self._warm_batch_limit - self._cold_batch_limit)
        )

    def add_work(self, work_s: float) -> None:
        """Warm up by a time of work within what the engine bears."""
        self._worked_s += work_s

    def make_warm(self) -> None:
        """Become warm at once."""
        self._worked_s = self._warm_up_s

    def make_cold(self) -> None:
        """Forget all work."""
        self._worked_s = 0.0
