"""Drop frames that came the wrong way."""

from collections.abc import Iterator

from ..core import Fault, Handlers, Message
from ..errors import ErrorKind
from ..frames import Frame


class DropStray:
    """Drop received frames of the types that only this program sends.

    The first filter of a chain; without it such a frame would pass through
    and return to its sender.

    Args:
        types: Frame types that this program sends and never receives.
    """

    __slots__ = ("handlers",)

    def __init__(self, *types: type[Frame]) -> None:
        self.handlers: Handlers = dict.fromkeys(types, self._on_stray)

    def _on_stray(self, msg: Frame) -> Iterator[Message]:
        detail = f"{msg.peer} sent {type(msg).__name__}, which goes the other way"
        yield Fault(ErrorKind.FRAME_INVALID, detail)
