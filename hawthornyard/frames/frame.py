"""Define what all frames share."""

from ..core import Message


class Frame(Message):
    """Base of all frames.

    Attributes:
        peer: Connection the frame came from or goes to; never encoded.
    """

    __slots__ = ("peer",)
    peer: str

    def at(self, peer: str) -> "Frame":
        """Set the connection and return the frame itself."""
        self.peer = peer
        return self

    def copy_to(self, peer: str) -> "Frame":
        """Return a copy for one of several connections."""
        return type(self)(*self.values()).at(peer)
