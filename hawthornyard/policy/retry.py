"""Bound retries by a share of the requests that succeed."""

RETRY_SHARE = 0.1
MIN_RETRIES = 3.0
MAX_RETRIES = 100.0


class RetryBudget:
    """A budget that successes fill and retries spend.

    Args:
        share: Retries earned by one success.
        minimum: Budget at the start, so that a quiet gateway can retry.
    """

    __slots__ = ("_level", "_share")

    def __init__(
        self, *, share: float = RETRY_SHARE, minimum: float = MIN_RETRIES
    ) -> None:
        self._share = share
        self._level = minimum

    def on_success(self) -> None:
        """Earn a share of a retry."""
        self._level = min(MAX_RETRIES, self._level + self._share)

    def take(self) -> bool:
        """Spend one retry if the budget holds it."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
