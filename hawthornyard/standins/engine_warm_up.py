"""Model the warm-up of an engine."""

# Larger than any batch.
UNLIMITED_BATCH = 1 << 30


class WarmUp:
    """A limit on the batch of an engine that grows linearly while it warms up.

    Args:
        cold_batch_limit: Limit on the sequences in a batch at the start.
        warm_batch_limit: Limit that is reached at the end of the warm-up.
        warm_up_s: Seconds of work until the engine is warm; 0 for warm at once.
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
        """Return the largest batch at full speed, `UNLIMITED_BATCH` once warm."""
        if self._worked_s >= self._warm_up_s:
            return UNLIMITED_BATCH
        share = self._worked_s / self._warm_up_s
        return self._cold_batch_limit + int(
            share * (self._warm_batch_limit - self._cold_batch_limit)
        )

    def add_work(self, work_s: float) -> None:
        """Count seconds of work in batches within the limit towards the warm-up."""
        self._worked_s += work_s

    def make_warm(self) -> None:
        """End the warm-up."""
        self._worked_s = self._warm_up_s

    def make_cold(self) -> None:
        """Start the warm-up again."""
        self._worked_s = 0.0
