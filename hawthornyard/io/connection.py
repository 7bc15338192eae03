"""Send and receive frames over authenticated connections."""

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
    """An authenticated connection to a peer.

    A green thread of its own writes the queued frames; the green thread that
    calls `run` reads.

    Args:
        sock: Connected and authenticated socket.
        peer: Name of the peer.
        codec: Codec of the connection.

    Attributes:
        peer: Name of the peer.
        is_open: False once the connection is closed or lost.
    """

    __slots__ = ("_codec", "_send_queue", "_sock", "is_open", "peer")

    def __init__(self, sock: Any, peer: str, codec: Codec) -> None:
        # Nagle's algorithm would delay tokens.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._codec = codec
        self._send_queue: Mailbox[bytes] = Mailbox()
        self.peer = peer
        self.is_open = True

    def send(self, frame: Frame) -> None:
        """Queue a frame.

        If the peer reads so slowly that `MAX_QUEUED_FRAMES` wait, the frame is
        dropped and the connection closed.
        """
        if len(self._send_queue) >= MAX_QUEUED_FRAMES:
            self.close()
            return
        self._send_queue.put(self._codec.encode(frame))

    def run(
        self, reader: FrameReader, inbox: Inbox, *, idle_timeout_s: float | None = None
    ) -> None:
        """Read frames into the inbox until the connection ends.

        Args:
            reader: Reader of the socket.
            inbox: Receives `PeerUp`, then the frames.
            idle_timeout_s: Seconds without data after which the connection ends,
                None for no timeout.

        Raises:
            OSError: If the connection was lost or idle for too long.
            FrameError: If the peer sent data that can't be decoded.
        """
        writer = eventlet.spawn(self._run_writer)
        self._sock.settimeout(idle_timeout_s)
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

    def set_idle_timeout(self, seconds: float) -> None:
        """End the connection after `seconds` without data."""
        self._sock.settimeout(seconds)

    def close(self) -> None:
        """Close the connection; `run` then returns in the reading green thread."""
        self.is_open = False
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _run_writer(self) -> None:
        try:
            while True:
                self._sock.sendall(b"".join(self._send_queue.take_all()))
        except OSError:
            self.close()


class Connections:
    """Registry of a process's open connections by peer name.

    Args:
        inbox: Receives `PeerDown` when a connection is removed or replaced.
    """

    __slots__ = ("_by_peer", "_inbox")

    def __init__(self, inbox: Inbox) -> None:
        self._by_peer: dict[str, Connection] = {}
        self._inbox = inbox

    def __len__(self) -> int:
        return len(self._by_peer)

    def add(self, conn: Connection) -> None:
        """Add a connection; closes an older one to the same peer."""
        older = self._by_peer.pop(conn.peer, None)
        if older is not None:
            older.close()
            self._inbox.put(PeerDown(conn.peer))
        self._by_peer[conn.peer] = conn

    def remove(self, conn: Connection) -> None:
        """Remove a connection that ended; does nothing if it was replaced."""
        if self._by_peer.get(conn.peer) is conn:
            del self._by_peer[conn.peer]
            self._inbox.put(PeerDown(conn.peer))

    def close(self, peer: str) -> None:
        """Close the connection to a peer, if there is one."""
        conn = self._by_peer.get(peer)
        if conn is not None:
            conn.close()

    def set_idle_timeout(self, peer: str, seconds: float) -> None:
        """Set the idle timeout in seconds of the connection to a peer, if any."""
        conn = self._by_peer.get(peer)
        if conn is not None:
            conn.set_idle_timeout(seconds)

    def send(self, frame: Frame) -> None:
        """Send a frame to its peer, or drop it if there is no open connection."""
        conn = self._by_peer.get(frame.peer)
        if conn is not None and conn.is_open:
            conn.send(frame)


class FrameSink:
    """Sink that sends frames to peers.

    Args:
        connections: Registry of open connections.
        types: Frame types that this program sends.
    """

    __slots__ = ("consumers",)

    def __init__(self, connections: Connections, *types: type[Frame]) -> None:
        self.consumers: Consumers = dict.fromkeys(types, connections.send)
