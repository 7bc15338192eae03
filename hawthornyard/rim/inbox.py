"""Queue messages for the one loop of a program."""

from eventlet.queue import LightQueue

from ..core import Message


class EventletInbox:
    """Hold messages until the loop takes them, without bound."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue = LightQueue()

    def put(self, msg: Message) -> None:
        """Append a message without waiting."""
        self._queue.put(msg)

    def get(self) -> Message:
        """Wait for the next message and take it."""
        msg: Message = self._queue.get()
        return msg

    def is_empty(self) -> bool:
        """Return whether no message waits."""
        return bool(self._queue.empty())
