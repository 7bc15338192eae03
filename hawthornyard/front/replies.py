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

Reply = (
    ReplyStarted | ReplyTokens | ReplyEnded | ReplyResponse | ReplyFailed | ReplyModels
)


class ReplyQueues:
    """One reply queue for each open HTTP exchange; a sink of the pipeline.

    Args:
        extra_types: Further message types to queue; each has a `call_id`.
    """

    __slots__ = ("_mailboxes", "consumers")

    def __init__(self, *extra_types: type[Message]) -> None:
        self._mailboxes: dict[str, Mailbox[Any]] = {}
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
        return len(self._mailboxes)

    def open(self, call_id: str) -> None:
        """Create the queue of an exchange."""
        self._mailboxes[call_id] = Mailbox()

    def close(self, call_id: str) -> None:
        """Delete the queue of an exchange; later replies to it are dropped."""
        self._mailboxes.pop(call_id, None)

    def take(self, call_id: str) -> list[Any]:
        """Wait for the next reply and return all that are ready, oldest first."""
        return self._mailboxes[call_id].take_all()

    def _put(self, msg: Any) -> None:
        mailbox = self._mailboxes.get(msg.call_id)
        if mailbox is not None:
            mailbox.put(msg)
