"""Reserve ports for servers that listen on them later."""

import socket


class ReservedPort:
    """TCP port that the system gives to nobody else.

    Its number may be told to peers before the server listens on it, and stays reserved
    while the server restarts. Only a socket with `SO_REUSEADDR`, as `listen` opens it,
    can listen on it; the system draws it neither for port 0 nor for an outgoing
    connection.

    Args:
        host: IPv4 address of the port.

    Attributes:
        address: "address:port".
        number: Number of the port.
    """

    __slots__ = ("_sock", "address", "number")

    def __init__(self, host: str) -> None:
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, 0))
        self.number: int = self._sock.getsockname()[1]
        self.address = f"{host}:{self.number}"

    def close(self) -> None:
        """Give the port back; a server that listens on it keeps it."""
        self._sock.close()
