"""Queue messages for the loop of a program."""

from ..core import Message
from .mailbox import Mailbox


class EventletInbox:
    """Unbounded queue of messages for the loop."""

    __slots__ = ("_mailbox",)

    def __init__(self) -> None:
        self._mailbox: Mailbox[Message] = Mailbox()

    def put(self, msg: Message) -> None:
        """Append a message; never blocks."""
        self._mailbox.put(msg)

    def get(self) -> Message:
        """Wait for the next message and remove it from the queue."""
        return self._mailbox.take()
