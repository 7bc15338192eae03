"""Queue messages for the one loop of a program."""

from ..core import Message
from .mailbox import Mailbox


class EventletInbox:
    """Hold messages until the loop takes them, without bound."""

    __slots__ = ("_mailbox",)

    def __init__(self) -> None:
        self._mailbox: Mailbox[Message] = Mailbox()

    def put(self, msg: Message) -> None:
        """Append a message without waiting."""
        self._mailbox.put(msg)

    def get(self) -> Message:
        """Wait for the next message and take it."""
        return self._mailbox.take()
