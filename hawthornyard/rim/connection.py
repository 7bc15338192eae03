"""Carry frames of one authenticated connection."""

import socket
from typing import Any

import eventlet

from ..codec import Codec
from ..core import Consumers, Inbox, PeerDown, PeerUp
from ..frames import Frame
from .handshake import FrameReader
from .mailbox import Mailbox

MAX_QUEUED_FRAMES = 20_000


class Connection:
    """One green thread writes, the caller's green thread reads.

    Args:
        sock: Connected and authenticated socket.
        peer: Name of the connection.
        codec: Codec of the connection.
    """

    __slots__ = ("_codec", "_outgoing", "_sock", "is_open", "peer")

    def __init__(self, sock: Any, peer: str, codec: Codec) -> None:
        # A held back token is a late token.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._codec = codec
        self._outgoing: Mailbox[bytes] = Mailbox()
        self.peer = peer
        self.is_open = True

    def send(self, frame: Frame) -> None:
        """Queue a frame; a peer that does not read is cut off."""
        if len(self._outgoing) >= MAX_QUEUED_FRAMES:
            self.close()
            return
        self._outgoing.put(self._codec.encode(frame))

    def run(
        self, reader: FrameReader, inbox: Inbox, *, silence_s: float | None = None
    ) -> None:
        """Read frames into the inbox until the connection ends.

        Args:
            reader: Reader of the socket.
            inbox: Where frames, `PeerUp` and `PeerDown` go.
            silence_s: Give up after so many seconds without a frame.
        """
        writer = eventlet.spawn(self._write)
        self._sock.settimeout(silence_s)
        inbox.put(PeerUp(self.peer))
        try:
            for frame in reader:
                if not self.is_open:
                    break
                inbox.put(frame.with_peer(self.peer))
        finally:
            self.is_open = False
            writer.kill()
            self._sock.close()

    def set_silence(self, seconds: float) -> None:
        """Give up after so many seconds without a frame."""
        self._sock.settimeout(seconds)

    def close(self) -> None:
        """End the connection; its reader then leaves `run`."""
        self.is_open = False
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _write(self) -> None:
        try:
            while True:
                self._sock.sendall(b"".join(self._outgoing.take_all()))
        except OSError:
            self.close()


class Connections:
    """The open connections of a process by peer name; a sink for frames."""

    __slots__ = ("_by_peer", "_inbox")

    def __init__(self, inbox: Inbox) -> None:
        self._by_peer: dict[str, Connection] = {}
        self._inbox = inbox

    def __len__(self) -> int:
        return len(self._by_peer)

    def add(self, conn: Connection) -> None:
        """Take a connection in; an older one of the same peer is replaced."""
        older = self._by_peer.pop(conn.peer, None)
        if older is not None:
            older.close()
            self._inbox.put(PeerDown(conn.peer))
        self._by_peer[conn.peer] = conn

    def remove(self, conn: Connection) -> None:
        """Forget a connection that ended, unless it was replaced before."""
        if self._by_peer.get(conn.peer) is conn:
            del self._by_peer[conn.peer]
            self._inbox.put(PeerDown(conn.peer))

    def close(self, peer: str) -> None:
        """End the connection to a peer, if there is one."""
        conn = self._by_peer.get(peer)
        if conn is not None:
            conn.close()

    def set_silence(self, peer: str, seconds: float) -> None:
        """Replace the connection to a peer after so long without a frame."""
        conn = self._by_peer.get(peer)
        if conn is not None:
            conn.set_silence(seconds)

    def send(self, frame: Frame) -> None:
        """Send a frame to its peer; dropped if there is no connection."""
        conn = self._by_peer.get(frame.peer)
        if conn is not None and conn.is_open:
            conn.send(frame)


class FrameSink:
    """Send frames that leave the pipeline.

    Args:
        connections: Open connections.
        types: Frame types that this program sends.
    """

    __slots__ = ("consumers",)

    def __init__(self, connections: Connections, *types: type[Frame]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, connections.send)
