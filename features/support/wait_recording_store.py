"""A store that records how long its readers ask to wait for changes."""

from eventlet.event import Event

from hawthornyard.errors import PlatformError
from hawthornyard.platform.store import FIRST_ERA, RowPage, StoredRow

N_RECORDED_CALLS = 4


class WaitRecordingStore:
    """A store that records the wait of each poll for changes.

    The first poll returns a changed row and the others none, all without waiting; the
    poll numbered N_RECORDED_CALLS never returns.

    Attributes:
        era: Era of the store.
        failing_call: Number of the poll that fails, 0 for none.
        longest_s: Seconds within which the answer to each poll must begin.
        waits: Requested waits in seconds.
        all_recorded: Event sent at the poll numbered N_RECORDED_CALLS.
    """

    __slots__ = ("all_recorded", "era", "failing_call", "longest_s", "waits")

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.longest_s: list[float] = []
        self.era = FIRST_ERA
        self.failing_call = 0
        self.all_recorded = Event()

    def read(self, table: str) -> RowPage:
        return RowPage([], 1)

    def read_changes(
        self,
        table: str,
        after_version: int,
        wait_s: float,
        *,
        timeout_s: float,
        max_bytes: int,
    ) -> RowPage:
        self.waits.append(wait_s)
        self.longest_s.append(wait_s + timeout_s)
        if len(self.waits) == self.failing_call:
            raise PlatformError("store: no response")
        if len(self.waits) == N_RECORDED_CALLS:
            self.all_recorded.send()
            Event().wait()
        is_first = len(self.waits) == 1
        return RowPage([StoredRow("evacuate/a", b"{}")] if is_first else [], 2)
