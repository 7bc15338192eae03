"""Hold the attempts that a sidecar knows."""

from collections.abc import Iterator

from .messages import Attempt

MAX_FORMER = 100_000


class Attempts:
    """Attempts by identifier, and what became of those held no longer.

    A refused identifier can only return in a frame that the sidecar had not
    read when its connection was replaced; that is far sooner than so many
    later ones push it out.
    """

    __slots__ = ("_attempts", "_complete_since", "_former")

    def __init__(self) -> None:
        self._attempts: dict[str, Attempt] = {}
        self._former: dict[str, _Former] = {}
        self._complete_since = float("-inf")

    def __iter__(self) -> Iterator[Attempt]:
        yield from list(self._attempts.values())

    def add(self, attempt: Attempt) -> None:
        """Hold an attempt."""
        self._attempts[attempt.attempt_id] = attempt

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt of this identifier."""
        return self._attempts.get(attempt_id)

    def refuse(self, attempt_id: str, now: float) -> None:
        """Drop an attempt that was not run and refuse its identifier."""
        self._remember(attempt_id, _Former(now, was_refused=True))

    def forget(self, attempt_id: str, now: float) -> None:
        """Drop an attempt that was run; its identifier is not taken again."""
        self._remember(attempt_id, _Former(now, was_refused=False))

    def is_refused(self, attempt_id: str) -> bool:
        """Return whether this identifier is refused for good."""
        former = self._former.get(attempt_id)
        return former is not None and former.was_refused

    def was_run(self, attempt_id: str) -> bool:
        """Return whether this identifier is of a forgotten attempt that was run."""
        former = self._former.get(attempt_id)
        return former is not None and not former.was_refused

    def is_complete_since(self, moment: float) -> bool:
        """Return whether every attempt that ended since then is remembered."""
        return moment > self._complete_since

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [item for item in self._attempts.values() if item.end is None]

    def n_unfinished(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self.unfinished())

    def n_unread(self) -> int:
        """Return the number of ended attempts that no gateway acknowledged."""
        return sum(
            attempt.end is not None and not attempt.is_acknowledged
            for attempt in self._attempts.values()
        )

    def _remember(self, attempt_id: str, former: "_Former") -> None:
        self._attempts.pop(attempt_id, None)
        self._former[attempt_id] = former
        if len(self._former) > MAX_FORMER:
            oldest = next(iter(self._former))
            self._complete_since = self._former.pop(oldest).at


class _Former:
    __slots__ = ("at", "was_refused")

    def __init__(self, at: float, *, was_refused: bool) -> None:
        self.at = at
        self.was_refused = was_refused
