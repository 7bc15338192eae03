"""Hand replies from the loop to the HTTP exchanges that wait for them."""

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
from ..rim import Mailbox

Reply = (
    ReplyStarted | ReplyTokens | ReplyEnded | ReplyResponse | ReplyFailed | ReplyModels
)


class Replies:
    """Queues of replies by HTTP exchange; a sink of the gateway's pipe.

    Args:
        types: Replies besides those of this module, with a `call_id`.
    """

    __slots__ = ("_mailboxes", "consumers")

    def __init__(self, *types: type[Message]) -> None:
        self._mailboxes: dict[str, Mailbox[Any]] = {}
        known = (
            ReplyStarted,
            ReplyTokens,
            ReplyEnded,
            ReplyResponse,
            ReplyFailed,
            ReplyModels,
        )
        self.consumers: Consumers = dict.fromkeys((*known, *types), self._put)

    def __len__(self) -> int:
        return len(self._mailboxes)

    def open(self, call_id: str) -> None:
        """Begin to keep replies for an exchange."""
        self._mailboxes[call_id] = Mailbox()

    def close(self, call_id: str) -> None:
        """Drop what else comes for an exchange."""
        self._mailboxes.pop(call_id, None)

    def take(self, call_id: str) -> list[Any]:
        """Wait for the next reply and take all that are ready."""
        return self._mailboxes[call_id].take_all()

    def _put(self, msg: Any) -> None:
        mailbox = self._mailboxes.get(msg.call_id)
        if mailbox is not None:
            mailbox.put(msg)
