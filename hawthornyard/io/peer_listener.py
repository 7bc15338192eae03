"""Accept connections from peers."""

from typing import Any

import eventlet
from loguru import logger

from ..codec import Codec
from ..core import Inbox
from ..errors import HawthornyardError
from .connection import Connection, Connections
from .handshake import HANDSHAKE_TIMEOUT_S, FrameReader, authenticate
from .listening_socket import listen

MAX_CONCURRENT_HANDSHAKES = 256
ACCEPT_RETRY_DELAY_S = 0.1


class PeerListener:
    """Listener that accepts, authenticates and reads connections from peers.

    Args:
        address: IP address and port to listen on.
        name: Name of this process.
        key: Secret that the deployment's processes share.
        codec: Codec of the connections.
        connections: Registry that authenticated connections are added to.
        inbox: Receives `PeerUp` and the frames of all connections.
    """

    __slots__ = (
        "_codec",
        "_connections",
        "_inbox",
        "_is_closed",
        "_key",
        "_n_handshakes",
        "_name",
        "_sock",
    )

    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        key: bytes,
        codec: Codec,
        connections: Connections,
        inbox: Inbox,
    ) -> None:
        self._sock = listen(address)
        self._name = name
        self._key = key
        self._codec = codec
        self._connections = connections
        self._inbox = inbox
        self._n_handshakes = 0
        self._is_closed = False

    @property
    def port(self) -> int:
        """Return the port that the listener is bound to."""
        port: int = self._sock.getsockname()[1]
        return port

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while not self._is_closed:
            try:
                sock, _ = self._sock.accept()
            except OSError as exc:
                if self._is_closed:
                    return
                # The process may be out of descriptors; connections end in time.
                logger.bind(detail=str(exc)).warning("accept_failed")
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            if self._n_handshakes >= MAX_CONCURRENT_HANDSHAKES:
                sock.close()
                continue
            self._n_handshakes += 1
            eventlet.spawn_n(self._serve, sock)

    def close(self) -> None:
        """Stop accepting connections; open ones stay."""
        self._is_closed = True
        self._sock.close()

    def _serve(self, sock: Any) -> None:
        reader = FrameReader(sock, self._codec)
        try:
            peer = self._authenticate(sock, reader)
        except (HawthornyardError, OSError) as exc:
            logger.bind(detail=str(exc)).warning("peer_refused")
            sock.close()
            return
        conn = Connection(sock, peer, self._codec)
        self._connections.add(conn)
        try:
            conn.run(reader, self._inbox)
        except (HawthornyardError, OSError) as exc:
            logger.bind(peer=peer, detail=str(exc)).warning("peer_lost")
        finally:
            self._connections.remove(conn)

    def _authenticate(self, sock: Any, reader: FrameReader) -> str:
        try:
            with eventlet.Timeout(HANDSHAKE_TIMEOUT_S, OSError("handshake timed out")):
                return authenticate(
                    sock, reader, self._codec, self._name, self._key, "server"
                )
        finally:
            self._n_handshakes -= 1
