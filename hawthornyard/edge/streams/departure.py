"""Keep track of the copies of one leaving engine's runs."""

from collections.abc import Iterable

from ..messages import Request


class Departure:
    """What is done about the runs of an engine that leaves.

    Attributes:
        copying_attempt_id: Attempt whose run is being copied, empty for none.
    """

    __slots__ = ("_not_before", "_skipped", "copying_attempt_id")

    def __init__(self) -> None:
        self.copying_attempt_id = ""
        self._not_before: dict[str, float] = {}
        self._skipped: set[str] = set()

    def postpone(self, attempt_id: str, until: float) -> None:
        """Leave a run alone for a while.

        Args:
            attempt_id: The attempt that runs it.
            until: Monotonic seconds until which others go first.
        """
        self._not_before[attempt_id] = until

    def not_postponed(self, requests: Iterable[Request], now: float) -> list[Request]:
        """Return the requests whose runs need not be left alone now."""
        return [
            request
            for request in requests
            if request.attempt is not None
            and self._not_before.get(request.attempt.attempt_id, now) <= now
        ]

    def note_skipped(self, attempt_id: str) -> bool:
        """Note that a run found no target; return whether that is new."""
        if attempt_id in self._skipped:
            return False
        self._skipped.add(attempt_id)
        return True
