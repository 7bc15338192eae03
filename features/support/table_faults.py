"""Fault injection for the writes of a table service."""

from collections.abc import Callable, Sequence

from hawthornyard.errors import ConflictError, PlatformError
from hawthornyard.stores import Condition, Page, Put, Row, TableStore

Write = Callable[[], int]
Fault = Callable[["FaultyTable", Write], int]


class FaultyTable:
    """A table store that forwards calls and injects faults into writes.

    Attributes:
        faults: Faults of the next writes, in order.
        delayed_writes: Writes that were sent and have not reached the table.
        n_reads_to_lose: Number of next reads whose reply is lost.
        is_down: Whether every call fails.
        competing_writes: Changes of other operators that faults may execute.
    """

    def __init__(
        self, table: TableStore, *, competing_writes: Sequence[Write] = ()
    ) -> None:
        self._table = table
        self.faults: list[Fault] = []
        self.delayed_writes: list[Write] = []
        self.competing_writes = list(competing_writes)
        self.n_reads_to_lose = 0
        self.is_down = False

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        self._require_up()

        def write() -> int:
            return self._table.transact(conditions, puts)

        if self.faults:
            return self.faults.pop(0)(self, write)
        return write()

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        self._require_up()
        return self._table.scan(prefix, after=after)

    def read(self, key: str) -> Row | None:
        self._require_up()
        if self.n_reads_to_lose:
            self.n_reads_to_lose -= 1
            raise PlatformError("the reply was lost")
        return self._table.read(key)

    def _require_up(self) -> None:
        if self.is_down:
            raise PlatformError("the table is down")


def lose_reply(table: FaultyTable, write: Write) -> int:
    write()
    raise PlatformError("the reply was lost")


def lose_reply_and_next_read(table: FaultyTable, write: Write) -> int:
    table.n_reads_to_lose = 1
    return lose_reply(table, write)


def lose_write(table: FaultyTable, write: Write) -> int:
    raise PlatformError("the write was lost")


def delay_write(table: FaultyTable, write: Write) -> int:
    """Time out while the write is still in transit."""
    table.delayed_writes.append(write)
    raise PlatformError("no reply before the timeout")


def deliver_delayed_write_first(table: FaultyTable, write: Write) -> int:
    table.delayed_writes.pop()()
    return write()


def deliver_delayed_write_after(table: FaultyTable, write: Write) -> int:
    """Execute the write, then the delayed one, which must conflict with it."""
    revision = write()
    try:
        table.delayed_writes.pop()()
    except ConflictError:
        return revision
    raise AssertionError("the delayed write took effect as well as its retry")


def run_competing_write_first(table: FaultyTable, write: Write) -> int:
    table.competing_writes.pop()()
    return write()


def overwrite_record_row_first(table: FaultyTable, write: Write) -> int:
    """Write the record's row as another program would, without a change entry."""
    put = Put("record/model/scribe", '{"retired": true}')
    table.transact([], [put])
    return write()


def go_down_before_write(table: FaultyTable, write: Write) -> int:
    table.is_down = True
    raise PlatformError("the table is down")


def go_down_after_write(table: FaultyTable, write: Write) -> int:
    write()
    return go_down_before_write(table, write)


FAULTS: dict[str, tuple[Fault, ...]] = {
    "nothing fails": (),
    "the reply is lost": (lose_reply,),
    "the reply and the read back are lost": (lose_reply_and_next_read,),
    "the write is lost": (lose_write,),
    "two writes are lost": (lose_write, lose_write),
    "the write arrives late, before the retry": (
        delay_write,
        deliver_delayed_write_first,
    ),
    "the write arrives late, after the retry": (
        delay_write,
        deliver_delayed_write_after,
    ),
    "another change comes first": (run_competing_write_first,),
    "the write is lost, then another change comes": (
        lose_write,
        run_competing_write_first,
    ),
    "the reply is lost, then another change comes": (
        lose_reply_and_next_read,
        run_competing_write_first,
    ),
    "three writes and the last reply are lost": (*[lose_write] * 3, lose_reply),
    "another program writes the record's row": (overwrite_record_row_first,),
    "the table goes down before the write": (go_down_before_write,),
    "the table goes down after the write": (go_down_after_write,),
}
"""Faults of the write of a change and of its retries, by name."""
