"""Filter for messages that a program sends but must not receive."""

from collections.abc import Iterator

from .message import Message
from .pipeline import Handlers


class DropUnexpected:
    """First filter of a chain; drops messages that the program only sends.

    Without it, a frame received in the wrong direction would pass the whole
    chain and be sent back by the frame sink.

    Args:
        types: Message types that are never valid as input.
    """

    __slots__ = ("handlers",)

    def __init__(self, *types: type[Message]) -> None:
        self.handlers: Handlers = dict.fromkeys(types, self._drop)

    def _drop(self, msg: Message) -> Iterator[Message]:
        yield from ()
