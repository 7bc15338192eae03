"""Queue the pipeline's replies for the HTTP exchanges that wait for them."""

from typing import Any

from ..core import Consumers, Message
from ..gateway.messages import (
    ReplyEnded,
    ReplyFailed,
    ReplyModels,
    ReplyResponse,
    ReplyStarted,
    ReplyTokens,
)
from ..io import Mailbox
from ..net import Holding

Reply = (
    ReplyStarted | ReplyTokens | ReplyEnded | ReplyResponse | ReplyFailed | ReplyModels
)


REPLY_OVERHEAD_BYTES = 512
"""Memory that a waiting reply takes beside its payload."""


class _ReplyQueue:
    """The replies to one HTTP exchange, and the bytes that they hold.

    Args:
        holding: What the exchange holds in memory.
    """

    __slots__ = ("_holding", "_mailbox", "_n_taken")

    def __init__(self, holding: Holding) -> None:
        self._holding = holding
        self._mailbox: Mailbox[Any] = Mailbox()
        self._n_taken = 0

    def put(self, msg: Any) -> None:
        """Append a reply; without room for it, the caller's connection is closed."""
        self._mailbox.put(msg)
        self._holding.resize(self._holding.n_bytes + _size(msg))

    def take_all(self) -> list[Any]:
        """Wait for the next reply and return all, which are held until the next call.

        By then, the caller has read what was returned before.
        """
        self._holding.resize(max(0, self._holding.n_bytes - self._n_taken))
        ready = self._mailbox.take_all()
        self._n_taken = sum(map(_size, ready))
        return ready


class ReplyQueues:
    """One reply queue for each open HTTP exchange; a sink of the pipeline.

    Args:
        extra_types: Further message types to queue; each has a `call_id`.
    """

    __slots__ = ("_queues", "consumers")

    def __init__(self, *extra_types: type[Message]) -> None:
        self._queues: dict[str, _ReplyQueue] = {}
        reply_types = (
            ReplyStarted,
            ReplyTokens,
            ReplyEnded,
            ReplyResponse,
            ReplyFailed,
            ReplyModels,
        )
        self.consumers: Consumers = dict.fromkeys(
            (*reply_types, *extra_types), self._put
        )

    def __len__(self) -> int:
        return len(self._queues)

    def open(self, call_id: str, holding: Holding) -> None:
        """Create the queue of an exchange.

        Args:
            call_id: Identifier of the exchange.
            holding: What the exchange holds in memory, to which replies are added.
        """
        self._queues[call_id] = _ReplyQueue(holding)

    def close(self, call_id: str) -> None:
        """Delete the queue of an exchange; later replies to it are dropped."""
        self._queues.pop(call_id, None)

    def take(self, call_id: str) -> list[Any]:
        """Wait for the next reply and return all that are ready, oldest first."""
        return self._queues[call_id].take_all()

    def _put(self, msg: Any) -> None:
        queue = self._queues.get(msg.call_id)
        if queue is not None:
            queue.put(msg)


def _size(msg: Message) -> int:
    return msg.n_payload_bytes + REPLY_OVERHEAD_BYTES
