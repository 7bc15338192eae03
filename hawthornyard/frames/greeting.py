"""Frames of the handshake that authenticates a connection."""

from .frame import Frame


class Hello(Frame):
    """First frame that each side sends on a connection.

    Attributes:
        protocol: Version of the peer protocol.
        name: Name of the process.
        nonce: Random bytes that the other side must authenticate.
    """

    __slots__ = ("protocol", "name", "nonce")

    def __init__(self, protocol: int, name: str, nonce: bytes) -> None:
        self.protocol = protocol
        self.name = name
        self.nonce = nonce


class Proof(Frame):
    """Second frame that each side sends: the keyed digest of the received nonce."""

    __slots__ = ("digest",)

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
