"""A store whose table changes once, and then no more."""

from eventlet.event import Event

from hawthornyard.platform.store import RowPage, StoredRow

N_CALLS = 4


class WaitingStore:
    """Note how long each call for changes would wait, and answer at once."""

    __slots__ = ("done", "waits")

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.done = Event()

    def read(self, table: str) -> RowPage:
        return RowPage([], 1)

    def read_changes(self, table: str, after_version: int, wait_s: float) -> RowPage:
        self.waits.append(wait_s)
        if len(self.waits) == N_CALLS:
            self.done.send()
            Event().wait()
        is_first = len(self.waits) == 1
        return RowPage([StoredRow("evacuate/a", b"{}")] if is_first else [], 2)
