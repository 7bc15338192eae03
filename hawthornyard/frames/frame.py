"""Base class of frames."""

from ..core import Message


class Frame(Message):
    """Message between processes.

    Attributes:
        peer: Name of the connection that the frame came from or goes to. Not
            encoded.
    """

    __slots__ = ("peer",)
    peer: str

    def with_peer(self, peer: str) -> "Frame":
        """Set the peer and return the frame itself."""
        self.peer = peer
        return self

    def copy_to(self, peer: str) -> "Frame":
        """Return a copy of the frame for another peer."""
        return type(self)(*self.values()).with_peer(peer)
