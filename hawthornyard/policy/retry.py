"""Bound retries by a share of the requests that succeeded lately."""

from collections import deque

from ..core import Clock

RETRY_SHARE = 0.1
MIN_RETRIES = 3
WINDOW_S = 60.0
STEP_S = 1.0


class RetryBudget:
    """A budget that holds in every window of a minute.

    Args:
        clock: Source of time.
        share: Retries allowed for one success of the window.
        minimum: Retries allowed in a window without any success.
    """

    __slots__ = ("_clock", "_minimum", "_share", "_steps")

    def __init__(
        self,
        clock: Clock,
        *,
        share: float = RETRY_SHARE,
        minimum: int = MIN_RETRIES,
    ) -> None:
        self._clock = clock
        self._share = share
        self._minimum = minimum
        self._steps: deque[_Step] = deque()

    def on_success(self) -> None:
        """Earn a share of a retry."""
        self._current().n_successes += 1

    def take(self) -> bool:
        """Spend one retry if the window holds it."""
        current = self._current()
        n_retries = sum(step.n_retries for step in self._steps)
        n_successes = sum(step.n_successes for step in self._steps)
        if n_retries >= max(self._minimum, self._share * n_successes):
            return False
        current.n_retries += 1
        return True

    def _current(self) -> "_Step":
        now = self._clock.now()
        while self._steps and now - self._steps[0].begun_at > WINDOW_S:
            self._steps.popleft()
        if not self._steps or now - self._steps[-1].begun_at >= STEP_S:
            self._steps.append(_Step(now))
        return self._steps[-1]


class _Step:
    __slots__ = ("begun_at", "n_retries", "n_successes")

    def __init__(self, begun_at: float) -> None:
        self.begun_at = begun_at
        self.n_successes = 0
        self.n_retries = 0
