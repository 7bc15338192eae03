"""A store that records how long its readers ask to wait for changes."""

from eventlet.event import Event

from hawthornyard.platform.store import RowPage, StoredRow

N_RECORDED_CALLS = 4


class WaitRecordingStore:
    """A store that records the wait of each poll for changes.

    The first poll returns a changed row and the others none, all without waiting; the
    poll numbered N_RECORDED_CALLS never returns.

    Attributes:
        waits: Requested waits in seconds.
        all_recorded: Event sent at the poll numbered N_RECORDED_CALLS.
    """

    __slots__ = ("all_recorded", "waits")

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.all_recorded = Event()

    def read(self, table: str) -> RowPage:
        return RowPage([], 1)

    def read_changes(self, table: str, after_version: int, wait_s: float) -> RowPage:
        self.waits.append(wait_s)
        if len(self.waits) == N_RECORDED_CALLS:
            self.all_recorded.send()
            Event().wait()
        is_first = len(self.waits) == 1
        return RowPage([StoredRow("evacuate/a", b"{}")] if is_first else [], 2)
