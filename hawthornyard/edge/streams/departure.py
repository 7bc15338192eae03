"""Track the migration of one leaving engine's runs."""

from collections.abc import Iterable

from ..messages import Request


class Departure:
    """Progress of migrating the runs of a leaving engine.

    Attributes:
        copying_attempt_id: Attempt whose run is being copied, empty for none.
    """

    __slots__ = ("_not_before", "_skipped", "copying_attempt_id")

    def __init__(self) -> None:
        self.copying_attempt_id = ""
        self._not_before: dict[str, float] = {}
        self._skipped: set[str] = set()

    def postpone(self, attempt_id: str, until: float) -> None:
        """Postpone the next copy of a run.

        Args:
            attempt_id: Attempt of the run.
            until: Monotonic time in seconds until which the run is not copied.
        """
        self._not_before[attempt_id] = until

    def not_postponed(self, requests: Iterable[Request], now: float) -> list[Request]:
        """Return the requests with an attempt that may be copied at `now`."""
        return [
            request
            for request in requests
            if request.attempt is not None
            and self._not_before.get(request.attempt.attempt_id, now) <= now
        ]

    def note_skipped(self, attempt_id: str) -> bool:
        """Record that a run has no target; return whether it is the first time."""
        if attempt_id in self._skipped:
            return False
        self._skipped.add(attempt_id)
        return True
