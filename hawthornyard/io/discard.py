"""Discard messages that need no action once they leave the pipeline."""

from ..core import Consumers, Message


class DiscardSink:
    """Sink that discards messages of the given types."""

    __slots__ = ("consumers",)

    def __init__(self, *types: type[Message]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, self._discard)

    def _discard(self, msg: Message) -> None:
        return
