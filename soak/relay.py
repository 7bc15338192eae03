"""TCP relay that injects network faults on loopback."""

import socket
import struct
from typing import Any

import eventlet

from .loopback import LOOPBACK

READ_CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
_LINGER_RESET = struct.pack("ii", 1, 0)


class Relay:
    """A TCP relay to one server.

    Args:
        target_port: Port of the server.

    Attributes:
        delay_s: Seconds by which each read is delayed before it is relayed.
        is_forward_blocked: Whether new connections and bytes to the server are
            held back until this is False again.
        is_return_blocked: Whether bytes from the server are held back until
            this is False again.
        is_refusing: Whether new connections are reset.
        port: Port that the relay listens on.
    """

    __slots__ = (
        "_blackholed",
        "_connections",
        "_sock",
        "_target_port",
        "delay_s",
        "is_forward_blocked",
        "is_refusing",
        "is_return_blocked",
        "port",
    )

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._sock: Any = eventlet.listen((LOOPBACK, 0))
        self.port: int = self._sock.getsockname()[1]
        self._connections: dict[Any, Any] = {}
        self._blackholed: set[Any] = set()
        self.delay_s = 0.0
        self.is_forward_blocked = False
        self.is_return_blocked = False
        self.is_refusing = False
        eventlet.spawn_n(self._accept)

    def retarget(self, target_port: int) -> None:
        """Relay new connections to another port."""
        self._target_port = target_port

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for client, server in list(self._connections.items()):
            for sock in (client, server):
                _reset_connection(sock)

    def blackhole_connections(self) -> None:
        """Discard all further bytes of open connections without closing them."""
        self._blackholed |= set(self._connections)

    def heal(self) -> None:
        """End all faults; connections that are black-holed stay so."""
        self.delay_s = 0.0
        self.is_forward_blocked = self.is_return_blocked = self.is_refusing = False

    def _accept(self) -> None:
        while True:
            client, _ = self._sock.accept()
            if self.is_refusing:
                _reset_connection(client)
            else:
                eventlet.spawn_n(self._relay, client)

    def _relay(self, client: Any) -> None:
        while self.is_forward_blocked:
            eventlet.sleep(0.05)
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_S):
                server = eventlet.connect((LOOPBACK, self._target_port))
        except (OSError, eventlet.Timeout):
            _reset_connection(client)
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[client] = server
        backward = eventlet.spawn(self._copy, client, server, client, is_backward=True)
        self._copy(client, client, server, is_backward=False)
        backward.wait()
        self._connections.pop(client, None)
        self._blackholed.discard(client)
        client.close()
        server.close()

    def _copy(self, client: Any, source: Any, sink: Any, *, is_backward: bool) -> None:
        try:
            while data := source.recv(READ_CHUNK_BYTES):
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                while (
                    self.is_return_blocked if is_backward else self.is_forward_blocked
                ):
                    eventlet.sleep(0.05)
                if client not in self._blackholed:
                    sink.sendall(data)
            if client not in self._blackholed:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            # A reset on one side is relayed to the other.
            _reset_connection(sink)


def _reset_connection(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    except OSError:
        # The socket is already closed.
        return
    sock.close()
