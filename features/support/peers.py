"""Fakes of one end of a peer connection."""

import contextlib
from typing import Any

import eventlet

from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import Message
from hawthornyard.errors import PeerError
from hawthornyard.io import Connections, PeerLinks
from hawthornyard.io.handshake import FrameReader, authenticate

PEER_NAME = "scribe-1"


class RecordingInbox:
    """Inbox that records the messages put into it."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def put(self, msg: Message) -> None:
        """Record a message."""
        self.messages.append(msg)


class ListeningPeer:
    """A listening peer and the inbox of the links to it.

    Attributes:
        key: Peer key of the deployment.
        n_accepted: Number of connections accepted.
        n_closed: Number of accepted connections that have ended.
        addresses: Address of the peer by its name.
    """

    def __init__(self) -> None:
        self.key = b"the key of the deployment"
        self._inbox = RecordingInbox()
        self.n_accepted = 0
        self.n_closed = 0
        self._sock = eventlet.listen(("127.0.0.1", 0))
        self.addresses = {PEER_NAME: f"127.0.0.1:{self._sock.getsockname()[1]}"}
        eventlet.spawn_n(self._accept)

    @property
    def messages(self) -> list[Message]:
        """Return the messages that links put into the inbox."""
        return self._inbox.messages

    def links(self, key: bytes) -> PeerLinks:
        """Return new links that authenticate with a key."""
        connections = Connections(self._inbox)
        return PeerLinks("gateway-1", key, MsgpackCodec(), connections, self._inbox)

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            self.n_accepted += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        codec = MsgpackCodec()
        reader = FrameReader(sock, codec)
        with contextlib.suppress(PeerError):
            authenticate(sock, reader, codec, PEER_NAME, self.key, "server")
        with contextlib.suppress(OSError):
            while sock.recv(4096):
                pass
        self.n_closed += 1
