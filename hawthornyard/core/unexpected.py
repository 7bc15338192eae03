"""Drop messages that nobody may send to this program."""

from collections.abc import Iterator

from .message import Message
from .pipe import Handlers


class DropUnexpected:
    """Stand at the head and drop messages that only this program sends.

    Without it a frame that goes the wrong way would pass the whole chain and
    be sent back by the sink for frames.

    Args:
        types: Types that never come in.
    """

    __slots__ = ("handlers",)

    def __init__(self, *types: type[Message]) -> None:
        self.handlers: Handlers = dict.fromkeys(types, self._drop)

    def _drop(self, msg: Message) -> Iterator[Message]:
        yield from ()
