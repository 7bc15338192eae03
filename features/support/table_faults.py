"""A table whose writes fail in the ways that a platform's can."""

from collections.abc import Callable, Sequence

from hawthornyard.errors import ConflictError, PlatformError
from hawthornyard.stores import Condition, Page, Put, Row, TableStore

Write = Callable[[], int]
Fault = Callable[["FaultyTable", Write], int]


class FaultyTable:
    """Passes calls on to a table, the next writes through faults.

    Attributes:
        faults: What happens to the writes to come, in order.
        late: Writes that were sent and have not arrived yet.
        n_reads_lost: Reads to come whose answer is lost.
        is_down: Whether no call is answered.
        others: Changes of other operators, to let in at will.
    """

    def __init__(self, table: TableStore, *, others: Sequence[Write] = ()) -> None:
        self._table = table
        self.faults: list[Fault] = []
        self.late: list[Write] = []
        self.others = list(others)
        self.n_reads_lost = 0
        self.is_down = False

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        self._check_up()

        def write() -> int:
            return self._table.transact(conditions, puts)

        if self.faults:
            return self.faults.pop(0)(self, write)
        return write()

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        self._check_up()
        return self._table.scan(prefix, after=after)

    def read(self, key: str) -> Row | None:
        self._check_up()
        if self.n_reads_lost:
            self.n_reads_lost -= 1
            raise PlatformError("lost")
        return self._table.read(key)

    def _check_up(self) -> None:
        if self.is_down:
            raise PlatformError("down")


def reply_lost(table: FaultyTable, write: Write) -> int:
    write()
    raise PlatformError("lost")


def reply_and_reads_lost(table: FaultyTable, write: Write) -> int:
    table.n_reads_lost = 1
    return reply_lost(table, write)


def write_lost(table: FaultyTable, write: Write) -> int:
    raise PlatformError("lost")


def write_late(table: FaultyTable, write: Write) -> int:
    table.late.append(write)
    raise PlatformError("slow")


def late_write_first(table: FaultyTable, write: Write) -> int:
    table.late.pop()()
    return write()


def late_write_afterwards(table: FaultyTable, write: Write) -> int:
    revision = write()
    try:
        table.late.pop()()
    except ConflictError:
        return revision
    raise AssertionError("both tries took effect")


def other_first(table: FaultyTable, write: Write) -> int:
    table.others.pop()()
    return write()


def other_program_first(table: FaultyTable, write: Write) -> int:
    """Another program writes the record's row without a change."""
    put = Put("record/model/scribe", '{"retired": true}')
    table.transact([], [put])
    return write()


def down_before(table: FaultyTable, write: Write) -> int:
    table.is_down = True
    raise PlatformError("down")


def down_after(table: FaultyTable, write: Write) -> int:
    write()
    return down_before(table, write)


FAULTS: dict[str, tuple[Fault, ...]] = {
    "nothing fails": (),
    "the reply is lost": (reply_lost,),
    "the reply and the read back are lost": (reply_and_reads_lost,),
    "the write is lost": (write_lost,),
    "two writes are lost": (write_lost, write_lost),
    "the write arrives late, before the retry": (write_late, late_write_first),
    "the write arrives late, after the retry": (write_late, late_write_afterwards),
    "another change comes first": (other_first,),
    "the write is lost, then another change comes": (write_lost, other_first),
    "the reply is lost, then another change comes": (reply_and_reads_lost, other_first),
    "three writes and the last reply are lost": (*[write_lost] * 3, reply_lost),
    "another program writes the record's row": (other_program_first,),
    "the table goes down before the write": (down_before,),
    "the table goes down after the write": (down_after,),
}
"""What happens to the write of a change and to its retries, by name."""
