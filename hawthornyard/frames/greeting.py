"""Define the frames with which a connection begins."""

from .frame import Frame


class Hello(Frame):
    """First frame of either side of a connection.

    Attributes:
        protocol: Version of the peer protocol.
        name: Name of the process.
        nonce: Random bytes that the other side must sign.
    """

    __slots__ = ("protocol", "name", "nonce")

    def __init__(self, protocol: int, name: str, nonce: bytes) -> None:
        self.protocol = protocol
        self.name = name
        self.nonce = nonce


class Proof(Frame):
    """Second frame of either side: the keyed digest of the other's nonce."""

    __slots__ = ("digest",)

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
