"""Relay connections on loopback and harm them."""

import socket
import struct
from typing import Any

import eventlet

from .ports import LOOPBACK

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
_RESET = struct.pack("ii", 1, 0)


class Relay:
    """One link to a server.

    Args:
        target: Port that connections are relayed to.

    Attributes:
        delay_s: Seconds by which bytes are delayed.
        is_cut: Whether bytes to the server, and connections, wait until it ends.
        is_cut_back: Whether bytes from the server wait until it ends.
        is_refusing: Whether new connections are reset.
        port: Port that is listened on.
    """

    __slots__ = (
        "_pairs",
        "_silenced",
        "_sock",
        "_target",
        "delay_s",
        "is_cut",
        "is_cut_back",
        "is_refusing",
        "port",
    )

    def __init__(self, target: int) -> None:
        self._target = target
        self._sock: Any = eventlet.listen((LOOPBACK, 0))
        self.port: int = self._sock.getsockname()[1]
        self._pairs: dict[Any, Any] = {}
        self._silenced: set[Any] = set()
        self.delay_s = 0.0
        self.is_cut = False
        self.is_cut_back = False
        self.is_refusing = False
        eventlet.spawn_n(self._accept)

    def retarget(self, target: int) -> None:
        """Relay new connections to another port."""
        self._target = target

    def reset(self) -> None:
        """Reset all open connections."""
        for client, server in list(self._pairs.items()):
            for sock in (client, server):
                _reset(sock)

    def silence(self) -> None:
        """Let open connections carry nothing any more, without closing them."""
        self._silenced |= set(self._pairs)

    def heal(self) -> None:
        """End all harm but the silence of open connections."""
        self.delay_s = 0.0
        self.is_cut = self.is_cut_back = self.is_refusing = False

    def _accept(self) -> None:
        while True:
            client, _ = self._sock.accept()
            if self.is_refusing:
                _reset(client)
            else:
                eventlet.spawn_n(self._relay, client)

    def _relay(self, client: Any) -> None:
        while self.is_cut:
            eventlet.sleep(0.05)
        try:
            with eventlet.Timeout(CONNECT_TIMEOUT_S):
                server = eventlet.connect((LOOPBACK, self._target))
        except (OSError, eventlet.Timeout):
            _reset(client)
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs[client] = server
        back = eventlet.spawn(self._pump, client, server, client, is_back=True)
        self._pump(client, client, server, is_back=False)
        back.wait()
        self._pairs.pop(client, None)
        self._silenced.discard(client)
        client.close()
        server.close()

    def _pump(self, client: Any, source: Any, sink: Any, *, is_back: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.delay_s:
                    eventlet.sleep(self.delay_s)
                while self.is_cut_back if is_back else self.is_cut:
                    eventlet.sleep(0.05)
                if client not in self._silenced:
                    sink.sendall(data)
            if client not in self._silenced:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            # A reset on one side is passed on to the other.
            _reset(sink)


def _reset(sock: Any) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        # It is closed already.
        return
    sock.close()
