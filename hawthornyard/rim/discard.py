"""Drop messages that have done their work when they reach the tail."""

from ..core import Consumers, Message


class DiscardSink:
    """Drop messages of the given types."""

    __slots__ = ("consumers",)

    def __init__(self, *types: type[Message]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, self._drop)

    def _drop(self, msg: Message) -> None:
        return
