"""Bound the bytes that all messages of a process hold in memory together."""

from collections.abc import Callable
from types import TracebackType

from loguru import logger

from ..errors import OversizedMessageError

MAX_HELD_BYTES = 32 * 1024 * 1024
"""Bytes of bodies, unfinished events and waiting replies that a process holds."""

MAX_OWNER_SHARE = 0.25
"""Share of the budget beyond which a peer's messages are dropped to make room."""


class Holding:
    """The bytes that one message holds, a part of a `ByteBudget`.

    Args:
        budget: Budget that counts the bytes.
        owner: Peer that sends the message or is slow to take it.
        on_evict: Called when the message must go; closes its connection.

    Attributes:
        owner: Peer that sends the message or is slow to take it.
        on_evict: Called when the message must go; closes its connection.
        n_bytes: Bytes that are counted.
        is_evicted: Whether the message must go; its bytes no longer count.
    """

    __slots__ = ("_budget", "is_evicted", "n_bytes", "on_evict", "owner")

    def __init__(
        self, budget: "ByteBudget", owner: str, on_evict: Callable[[], None]
    ) -> None:
        self._budget = budget
        self.owner = owner
        self.on_evict = on_evict
        self.n_bytes = 0
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
            self._budget.resize(self, n_bytes)

    def release(self) -> None:
        """Stop counting the message."""
        self.resize(0)

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


class ByteBudget:
    """The bytes that all messages may hold together.

    Over the budget, the peer that holds the most loses its largest message, if it
    holds more than `MAX_OWNER_SHARE`. Otherwise the message that grows is lost.

    Args:
        max_bytes: Bytes that all messages may hold together.

    Attributes:
        max_bytes: Bytes that all messages may hold together.
        n_bytes: Bytes that are held.
        n_evicted: Messages that were evicted so far.
    """

    __slots__ = ("_holdings", "_owners", "max_bytes", "n_bytes", "n_evicted")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.n_evicted = 0
        self._owners: dict[str, int] = {}
        self._holdings: set[Holding] = set()

    def hold(self, owner: str, on_evict: Callable[[], None]) -> Holding:
        """Return an empty holding of a message; see `Holding` for the arguments."""
        return Holding(self, owner, on_evict)

    def resize(self, holding: Holding, n_bytes: int) -> None:
        """Count a message with another size."""
        self._count(holding, n_bytes)
        while self.n_bytes > self.max_bytes:
            self._evict(self._victim(holding))

    def _victim(self, growing: Holding) -> Holding:
        owner = max(self._owners, key=self._owners.__getitem__)
        if self._owners[owner] <= MAX_OWNER_SHARE * self.max_bytes:
            return growing
        return max((held for held in self._holdings if held.owner == owner), key=_size)

    def _evict(self, holding: Holding) -> None:
        logger.bind(owner=holding.owner, n_bytes=holding.n_bytes).warning(
            "message_evicted"
        )
        self._count(holding, 0)
        self.n_evicted += 1
        holding.is_evicted = True
        holding.on_evict()

    def _count(self, holding: Holding, n_bytes: int) -> None:
        change = n_bytes - holding.n_bytes
        holding.n_bytes = n_bytes
        self.n_bytes += change
        owned = self._owners.get(holding.owner, 0) + change
        if owned:
            self._owners[holding.owner] = owned
        else:
            self._owners.pop(holding.owner, None)
        if n_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)


PROCESS_BUDGET = ByteBudget(MAX_HELD_BYTES)
"""Budget of all connections of this process."""


def _size(holding: Holding) -> int:
    return holding.n_bytes
