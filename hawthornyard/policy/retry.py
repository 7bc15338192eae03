"""Limit retries to a fraction of the recent successes."""

from collections import deque

from ..core import Clock

RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_WINDOW = 3
WINDOW_S = 60.0
WINDOW_STEP_S = 1.0


class RetryBudget:
    """A retry budget over a sliding window of `WINDOW_S` seconds.

    Args:
        clock: Source of time.
        retries_per_success: Retries allowed per success in the window.
        min_retries: Retries allowed in the window whatever the successes.
    """

    __slots__ = ("_clock", "_min_retries", "_retries_per_success", "_steps")

    def __init__(
        self,
        clock: Clock,
        *,
        retries_per_success: float = RETRIES_PER_SUCCESS,
        min_retries: int = MIN_RETRIES_PER_WINDOW,
    ) -> None:
        self._clock = clock
        self._retries_per_success = retries_per_success
        self._min_retries = min_retries
        self._steps: deque[_WindowStep] = deque()

    def on_success(self) -> None:
        """Record a success, which earns a fraction of a retry."""
        self._current_step().n_successes += 1

    def take(self) -> bool:
        """Spend one retry if the window allows it; return whether it does."""
        current = self._current_step()
        n_retries = sum(step.n_retries for step in self._steps)
        n_successes = sum(step.n_successes for step in self._steps)
        if n_retries >= max(self._min_retries, self._retries_per_success * n_successes):
            return False
        current.n_retries += 1
        return True

    def _current_step(self) -> "_WindowStep":
        now = self._clock.now()
        while self._steps and now - self._steps[0].begun_at > WINDOW_S:
            self._steps.popleft()
        if not self._steps or now - self._steps[-1].begun_at >= WINDOW_STEP_S:
            self._steps.append(_WindowStep(now))
        return self._steps[-1]


class _WindowStep:
    __slots__ = ("begun_at", "n_retries", "n_successes")

    def __init__(self, begun_at: float) -> None:
        self.begun_at = begun_at
        self.n_successes = 0
        self.n_retries = 0
