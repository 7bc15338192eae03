"""Bound what all peers make a process hold in memory together, by its cost."""

from collections.abc import Callable
from types import TracebackType

from loguru import logger

from ..errors import OversizedMessageError

MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes that a process holds for its peers if its memory is not known."""

MIN_HELD_BYTES = 8 * 1024 * 1024
"""Smallest budget, in which a large body and some connections find room."""

IDLE_PROCESS_BYTES = 48_000_000
"""Memory of a process without load; a gateway was measured to take 41 MB."""

HELD_SHARE = 0.4
"""Share of the other memory that is budgeted. The rest is for messages in transit
between two owners, and for what the allocator can't give back."""

RESERVED_SHARE = 0.25
"""Share of the budget in which reserved messages are not evicted."""


def max_held_bytes(memory_bytes: int) -> int:
    """Return the budget of a process.

    Args:
        memory_bytes: Memory of the process's machine.
    """
    return max(MIN_HELD_BYTES, int(HELD_SHARE * (memory_bytes - IDLE_PROCESS_BYTES)))


class Holding:
    """The bytes that one message or connection holds, a part of a `ByteBudget`.

    Args:
        budget: Budget that counts the bytes.
        owner: Peer that sends the message or is slow to take it.
        on_evict: Called when the message must go; closes its connection.
        is_reserved: Whether it is evicted only if all reserved messages together exceed
            their share of the budget.

    Attributes:
        owner: Peer that sends the message or is slow to take it.
        on_evict: Called when the message must go; closes its connection.
        is_reserved: Whether it is evicted only if all reserved messages together exceed
            their share of the budget.
        n_bytes: Bytes of the message that are counted.
        n_overhead: Bytes that are counted for what the message needs, such as its
            connection and its parsed head.
        is_evicted: Whether the message must go; its bytes no longer count.
    """

    __slots__ = (
        "_budget",
        "is_evicted",
        "is_reserved",
        "n_bytes",
        "n_overhead",
        "on_evict",
        "owner",
    )

    def __init__(
        self,
        budget: "ByteBudget",
        owner: str,
        on_evict: Callable[[], None],
        *,
        is_reserved: bool = False,
    ) -> None:
        self._budget = budget
        self.owner = owner
        self.on_evict = on_evict
        self.is_reserved = is_reserved
        self.n_bytes = 0
        self.n_overhead = 0
        self.is_evicted = False

    def __enter__(self) -> "Holding":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def resize(self, n_bytes: int) -> None:
        """Set the bytes that are held, and evict messages if there are too many."""
        if not self.is_evicted:
            self._budget.resize(self, n_bytes, self.n_overhead)

    def resize_overhead(self, n_bytes: int) -> None:
        """Set the overhead, and evict messages if there are too many bytes."""
        if not self.is_evicted:
            self._budget.resize(self, self.n_bytes, n_bytes)

    def release(self) -> None:
        """Stop counting the message and its overhead."""
        self.end_message()
        if not self.is_evicted:
            self._budget.resize(self, 0, 0)

    def begin_message(self) -> None:
        """Note that a message arrives, of which the end has not been read."""
        self._budget.add_incomplete(self)

    def end_message(self) -> None:
        """Note that the message has been read whole or is given up."""
        self._budget.remove_incomplete(self)

    def check(self) -> None:
        """Check that the message may be held.

        Raises:
            OversizedMessageError: If it was evicted.
        """
        if self.is_evicted:
            raise OversizedMessageError(
                f"the message of {self.owner} was dropped, as all messages together "
                f"are over {self._budget.max_bytes} bytes"
            )


def total_bytes(holding: Holding) -> int:
    """Return the bytes of a message and its overhead."""
    return holding.n_bytes + holding.n_overhead


class ByteBudget:
    """The bytes that all messages may hold together.

    Over the budget, the peer that holds the most loses its largest message, also if
    it holds a small part: many peers that hold much alike must not cost those that
    hold little their messages. If others hold half as much or more for messages that
    are still incomplete, the oldest of these is dropped instead: peers that never end
    their messages must not cost those that do. What callers hold must not cost a
    process its configuration either: reserved messages have a share of the budget.

    Args:
        max_bytes: Bytes that all messages may hold together.

    Attributes:
        max_bytes: Bytes that all messages may hold together.
        n_bytes: Bytes that are held.
        n_evicted: Messages that were evicted so far.
    """

    __slots__ = (
        "_holdings",
        "_incomplete",
        "_n_reserved_bytes",
        "_owners",
        "max_bytes",
        "n_bytes",
        "n_evicted",
    )

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.n_evicted = 0
        self._n_reserved_bytes = 0
        # Without those of reserved messages.
        self._owners: dict[str, int] = {}
        self._holdings: set[Holding] = set()
        # In the order in which the messages began.
        self._incomplete: dict[Holding, None] = {}

    def hold(
        self, owner: str, on_evict: Callable[[], None], *, is_reserved: bool = False
    ) -> Holding:
        """Return an empty holding of a message; see `Holding` for the arguments."""
        return Holding(self, owner, on_evict, is_reserved=is_reserved)

    def resize(self, holding: Holding, n_bytes: int, n_overhead: int = 0) -> None:
        """Count a message and its overhead with other sizes."""
        self._count(holding, n_bytes, n_overhead)
        while self.n_bytes > self.max_bytes:
            self.evict(self._victim())

    def add_incomplete(self, holding: Holding) -> None:
        """Register a message of which the end has not been read."""
        self._incomplete[holding] = None

    def remove_incomplete(self, holding: Holding) -> None:
        """Leave out a message that has been read whole or is given up."""
        self._incomplete.pop(holding, None)

    def _victim(self) -> Holding:
        max_reserved_bytes = RESERVED_SHARE * self.max_bytes
        if self._n_reserved_bytes > max_reserved_bytes or not self._owners:
            return max(
                (held for held in self._holdings if held.is_reserved), key=total_bytes
            )
        owner = max(self._owners, key=self._owners.__getitem__)
        n_most = self._owners[owner]
        for held in self._incomplete:
            if held in self._holdings and 2 * total_bytes(held) >= n_most:
                return held
        return max(
            (
                held
                for held in self._holdings
                if held.owner == owner and not held.is_reserved
            ),
            key=total_bytes,
        )

    def evict(self, holding: Holding) -> None:
        """Drop a message, which closes its connection."""
        logger.bind(owner=holding.owner, n_bytes=total_bytes(holding)).warning(
            "message_evicted"
        )
        self._count(holding, 0, 0)
        self.n_evicted += 1
        holding.is_evicted = True
        holding.on_evict()

    def _count(self, holding: Holding, n_bytes: int, n_overhead: int) -> None:
        change = n_bytes + n_overhead - total_bytes(holding)
        holding.n_bytes = n_bytes
        holding.n_overhead = n_overhead
        self.n_bytes += change
        if holding.is_reserved:
            self._n_reserved_bytes += change
        else:
            self._add_owned(holding.owner, change)
        if n_bytes or n_overhead:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    def _add_owned(self, owner: str, change: int) -> None:
        owned = self._owners.get(owner, 0) + change
        if owned:
            self._owners[owner] = owned
        else:
            self._owners.pop(owner, None)


PROCESS_BUDGET = ByteBudget(MAX_HELD_BYTES)
"""Budget of all connections of this process."""
