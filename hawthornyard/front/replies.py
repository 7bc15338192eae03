"""Hand replies from the loop to the HTTP exchanges that wait for them."""

from eventlet.queue import LightQueue

from ..core import Consumers, Message
from ..gateway.messages import (
    ReplyEnded,
    ReplyFailed,
    ReplyModels,
    ReplyStarted,
    ReplyTokens,
    ReplyWhole,
)

Reply = ReplyStarted | ReplyTokens | ReplyEnded | ReplyWhole | ReplyFailed | ReplyModels


class Replies:
    """Queues of replies by HTTP exchange; a sink of the gateway's pipe."""

    __slots__ = ("_queues", "consumers")

    def __init__(self) -> None:
        self._queues: dict[str, LightQueue] = {}
        self.consumers: Consumers = {
            ReplyStarted: self._put,
            ReplyTokens: self._put,
            ReplyEnded: self._put,
            ReplyWhole: self._put,
            ReplyFailed: self._put,
            ReplyModels: self._put,
        }

    def __len__(self) -> int:
        return len(self._queues)

    def open(self, call_id: str) -> None:
        """Begin to keep replies for an exchange."""
        self._queues[call_id] = LightQueue()

    def close(self, call_id: str) -> None:
        """Drop what else comes for an exchange."""
        self._queues.pop(call_id, None)

    def take(self, call_id: str) -> list[Reply]:
        """Wait for the next reply and take all that are ready."""
        queue = self._queues[call_id]
        ready: list[Reply] = [queue.get()]
        while not queue.empty():
            ready.append(queue.get())
        return ready

    def _put(self, msg: Message) -> None:
        queue = self._queues.get(msg.call_id)  # type: ignore[attr-defined]
        if queue is not None:
            queue.put(msg)
