"""Registry of the attempts that a sidecar knows."""

from collections.abc import Iterator

from .messages import Attempt

MAX_PAST_ATTEMPTS = 100_000


class Attempts:
    """Attempts by identifier, with a bounded history of dropped attempts.

    A refused identifier can only recur in a frame that was unread when its
    connection was replaced. Such a frame is read long before `MAX_PAST_ATTEMPTS`
    later attempts evict the identifier from the history.
    """

    __slots__ = ("_attempts", "_evicted_until", "_past")

    def __init__(self) -> None:
        self._attempts: dict[str, Attempt] = {}
        self._past: dict[str, _PastAttempt] = {}
        self._evicted_until = float("-inf")

    def __iter__(self) -> Iterator[Attempt]:
        yield from list(self._attempts.values())

    def add(self, attempt: Attempt) -> None:
        """Add an attempt."""
        self._attempts[attempt.attempt_id] = attempt

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt with this identifier, None if it is not held."""
        return self._attempts.get(attempt_id)

    def refuse(self, attempt_id: str, now: float) -> None:
        """Drop an attempt that was not run, and refuse its identifier from now on."""
        self._remember(attempt_id, _PastAttempt(now, was_refused=True))

    def forget(self, attempt_id: str, now: float) -> None:
        """Drop an attempt that was run; repeats of it are ignored from now on."""
        self._remember(attempt_id, _PastAttempt(now, was_refused=False))

    def is_refused(self, attempt_id: str) -> bool:
        """Return whether this identifier was refused before."""
        past = self._past.get(attempt_id)
        return past is not None and past.was_refused

    def has_run(self, attempt_id: str) -> bool:
        """Return whether this identifier belongs to a dropped attempt that was run."""
        past = self._past.get(attempt_id)
        return past is not None and not past.was_refused

    def has_full_history_since(self, moment: float) -> bool:
        """Return whether no attempt dropped since `moment` was evicted.

        Args:
            moment: Monotonic time in seconds.
        """
        return moment > self._evicted_until

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [item for item in self._attempts.values() if item.final_frame is None]

    def n_unfinished(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self.unfinished())

    def n_unacknowledged(self) -> int:
        """Return the number of ended attempts without an acknowledgement."""
        return sum(
            attempt.final_frame is not None and not attempt.is_acknowledged
            for attempt in self._attempts.values()
        )

    def _remember(self, attempt_id: str, past: "_PastAttempt") -> None:
        self._attempts.pop(attempt_id, None)
        self._past[attempt_id] = past
        if len(self._past) > MAX_PAST_ATTEMPTS:
            oldest = next(iter(self._past))
            self._evicted_until = self._past.pop(oldest).dropped_at


class _PastAttempt:
    __slots__ = ("dropped_at", "was_refused")

    def __init__(self, dropped_at: float, *, was_refused: bool) -> None:
        self.dropped_at = dropped_at
        self.was_refused = was_refused
