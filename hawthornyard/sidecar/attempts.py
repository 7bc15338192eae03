"""Hold the attempts that a sidecar knows."""

from collections.abc import Iterator

from .messages import Attempt

MAX_REFUSED = 100_000


class Attempts:
    """Attempts by identifier, and the identifiers that are refused for good."""

    __slots__ = ("_attempts", "_refused")

    def __init__(self) -> None:
        self._attempts: dict[str, Attempt] = {}
        self._refused: dict[str, None] = {}

    def __iter__(self) -> Iterator[Attempt]:
        yield from list(self._attempts.values())

    def add(self, attempt: Attempt) -> None:
        """Hold an attempt."""
        self._attempts[attempt.attempt_id] = attempt

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt of this identifier."""
        return self._attempts.get(attempt_id)

    def refuse(self, attempt_id: str) -> None:
        """Forget an attempt that was not run and refuse its identifier."""
        self._attempts.pop(attempt_id, None)
        self._refused[attempt_id] = None
        if len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def is_refused(self, attempt_id: str) -> bool:
        """Return whether this identifier is refused for good."""
        return attempt_id in self._refused

    def unfinished(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [item for item in self._attempts.values() if item.end is None]

    def n_unfinished(self) -> int:
        """Return the number of attempts that have not ended."""
        return len(self.unfinished())
