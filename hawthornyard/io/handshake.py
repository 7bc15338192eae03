"""Authenticate both ends of a peer connection by HMAC challenge and response."""

import hashlib
import hmac
import secrets
from collections.abc import Iterator
from typing import Any

from ..codec import Codec
from ..errors import PeerError
from ..frames import Frame, Hello, Proof

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
HANDSHAKE_TIMEOUT_S = 2.0
RECEIVE_BYTES = 65536
# A peer that sends this many bytes before it is authenticated is refused.
MAX_HANDSHAKE_BYTES = 2048
HANDSHAKE_RECEIVE_BYTES = 512
MAX_NAME_CHARS = 100


class FrameReader:
    """Reader of the frames that arrive on a socket.

    A peer that sends `MAX_HANDSHAKE_BYTES` before `lift_handshake_limit` is called is
    refused with `PeerError`.

    Args:
        sock: Connected socket.
        codec: Codec of the connection.
    """

    __slots__ = ("_decoder", "_n_handshake_bytes_left", "_pending", "_sock")

    def __init__(self, sock: Any, codec: Codec) -> None:
        self._sock = sock
        self._decoder = codec.decoder()
        self._pending: list[Frame] = []
        self._n_handshake_bytes_left = MAX_HANDSHAKE_BYTES

    def lift_handshake_limit(self) -> None:
        """Allow the peer, now authenticated, to send without limit."""
        self._n_handshake_bytes_left = 0

    def read(self) -> list[Frame]:
        """Wait for frames; an empty list means that the peer closed the connection.

        Raises:
            FrameError: If the peer sent data that can't be decoded.
            PeerError: If the peer sent too many bytes before it was authenticated.
        """
        while not self._pending:
            data = self._receive()
            if not data:
                return []
            self._pending.extend(self._decoder.feed(data))
        frames, self._pending = self._pending, []
        return frames

    def read_one(self) -> Frame:
        """Wait for one frame.

        Raises:
            PeerError: If the peer closed the connection or exceeded the limit.
        """
        frames = self.read()
        if not frames:
            raise PeerError("the peer closed the connection")
        self._pending = frames[1:]
        return frames[0]

    def _receive(self) -> bytes:
        if not self._n_handshake_bytes_left:
            data: bytes = self._sock.recv(RECEIVE_BYTES)
            return data
        data = self._sock.recv(
            min(self._n_handshake_bytes_left, HANDSHAKE_RECEIVE_BYTES)
        )
        self._n_handshake_bytes_left -= len(data)
        if not self._n_handshake_bytes_left:
            raise PeerError("the peer sent too many bytes before its proof")
        return data

    def __iter__(self) -> Iterator[Frame]:
        while frames := self.read():
            yield from frames


def authenticate(
    sock: Any, reader: FrameReader, codec: Codec, name: str, key: bytes, role: str
) -> str:
    """Authenticate this process and the peer to each other by their shared key.

    Each side sends a nonce and answers the other's with an HMAC of it.

    Args:
        sock: Connected socket.
        reader: Reader of the socket.
        codec: Codec of the connection.
        name: Name of this process.
        key: Secret that the deployment's processes share.
        role: "client" or "server", this side of the connection. The HMAC covers it,
            so that a proof can't be reflected to its sender.

    Returns:
        The peer's name.

    Raises:
        PeerError: If the peer does not know the key or breaks the protocol.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    sock.sendall(codec.encode(Hello(PROTOCOL_VERSION, name, nonce)))
    hello = reader.read_one()
    if not isinstance(hello, Hello) or hello.protocol != PROTOCOL_VERSION:
        raise PeerError("the peer sent no greeting of a supported protocol version")
    if not hello.name or len(hello.name) > MAX_NAME_CHARS:
        raise PeerError("the peer's name is empty or too long")
    if len(hello.nonce) != NONCE_BYTES:
        raise PeerError("the peer's nonce has the wrong length")
    sock.sendall(codec.encode(Proof(_proof_digest(key, role, name, hello.nonce))))
    proof = reader.read_one()
    peer_role = "server" if role == "client" else "client"
    expected = _proof_digest(key, peer_role, hello.name, nonce)
    if not isinstance(proof, Proof) or not hmac.compare_digest(proof.digest, expected):
        raise PeerError("the peer does not know the key")
    reader.lift_handshake_limit()
    return hello.name


def _proof_digest(key: bytes, role: str, name: str, nonce: bytes) -> bytes:
    text = role.encode() + b"\0" + name.encode() + b"\0" + nonce
    return hmac.new(key, text, hashlib.sha256).digest()
