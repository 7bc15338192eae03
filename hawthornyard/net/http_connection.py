"""HTTP connections whose responses are bounded in bytes and in time."""

import http.client
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from .fair_socket import FairSocket

MAX_HEAD_BYTES = 65_536
"""Bytes of a response's head and of the interim responses before it. Bytes of the body
that arrive with the head and fit into the socket's read buffer count as well."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest body of a response whose client sets no bound of its own."""

WIRE_BYTES_PER_BODY_BYTE = 2
"""Bytes on the wire for each byte of a body, so that the sizes of small chunks fit."""


def limit_body(sock: FairSocket, n_bytes: int) -> None:
    """Bound what may be read of a body, with its framing, to that of `n_bytes`."""
    sock.limit_bytes(WIRE_BYTES_PER_BODY_BYTE * n_bytes + MAX_HEAD_BYTES)


class _BoundedResponse(http.client.HTTPResponse):
    """Response whose head is bounded, and refused if it is cut."""

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader: FairSocket = sock

    def begin(self) -> None:
        """Read the head.

        Raises:
            OversizedMessageError: If the head is longer than `MAX_HEAD_BYTES`.
            RemoteDisconnected: If the peer closes the connection within the head, whose
                first lines would otherwise pass for a whole head with an empty body.
        """
        self._reader.limit_bytes(MAX_HEAD_BYTES)
        super().begin()
        if self._reader.has_ended:
            raise http.client.RemoteDisconnected("the head of the response is cut")
        limit_body(self._reader, MAX_BODY_BYTES)


class BoundedConnection(HTTPConnection):
    """HTTP connection that bounds each response as a whole.

    The timeout of reading, which urllib3 gives to each read, is here also the time
    within which the whole response must arrive.
    """

    response_class = _BoundedResponse
    _reader: FairSocket

    def getresponse(self) -> Any:
        """Return the response, of which the head has been read.

        Raises:
            OversizedMessageError: If the head is longer than `MAX_HEAD_BYTES`.
            RemoteDisconnected: If the peer closes the connection within the head.
            TimeoutError: If the head does not arrive within the timeout.
        """
        assert isinstance(self.sock, FairSocket)
        # The base class drops the socket of a connection that is not kept alive.
        self._reader = self.sock
        self._reader.limit_time(self.timeout)
        return super().getresponse()

    def limit_body(self, n_bytes: int) -> None:
        """Bound the body of the response that is being read.

        Args:
            n_bytes: Largest body. A read that exceeds it with its framing raises
                `OversizedMessageError`.
        """
        limit_body(self._reader, n_bytes)

    def limit_time(self, seconds: float) -> None:
        """Set in how many seconds the rest of the response must arrive."""
        self._reader.limit_time(seconds)

    def _new_conn(self) -> Any:
        sock = super()._new_conn()
        reader = FairSocket(sock.family, sock.type, fileno=sock.detach())
        reader.settimeout(self.timeout)
        return reader


class _BoundedPool(HTTPConnectionPool):
    """Pool that opens a connection for each request.

    On a connection in use again, a late second copy of an earlier response would be
    taken for the response to the next request.
    """

    ConnectionCls = BoundedConnection

    def _put_conn(self, conn: Any) -> None:
        if conn is not None:
            conn.close()
        super()._put_conn(None)


def new_pool(**kwargs: Any) -> urllib3.PoolManager:
    """Return a source of bounded connections, each for one request.

    Args:
        kwargs: Arguments of `urllib3.PoolManager`.
    """
    pool = urllib3.PoolManager(**kwargs)
    pool.pool_classes_by_scheme = {
        **pool.pool_classes_by_scheme,
        "http": _BoundedPool,
    }
    return pool
