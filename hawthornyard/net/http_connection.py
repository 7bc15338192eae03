"""HTTP connections whose responses are bounded in bytes and in time."""

import http.client
import io
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from ..errors import OversizedMessageError
from .byte_budget import PROCESS_BUDGET, Holding
from .chunks import ChunkDecoder
from .fair_socket import FairSocket
from .field_lines import FieldReader
from .head_lines import MAX_HEAD_BYTES, lift_line_bound
from .status_line import read_final_status

lift_line_bound()

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Largest body of a response whose client sets no bound of its own."""

READ_BYTES = 16_384
"""Bytes that one read of a body takes at most."""

WIRE_BYTES_PER_BODY_BYTE = 2
"""Bytes on the wire for each byte of a body, so that the sizes of small chunks fit."""


def limit_body(
    sock: FairSocket,
    n_bytes: int,
    *,
    wire_bytes_per_byte: int = WIRE_BYTES_PER_BODY_BYTE,
) -> None:
    """Bound what may be read of a body, with its framing.

    Args:
        sock: Socket that the body is read from.
        n_bytes: Largest body.
        wire_bytes_per_byte: Bytes on the wire for each byte of the body.
    """
    sock.limit_bytes(wire_bytes_per_byte * n_bytes + MAX_HEAD_BYTES)


class _ChunkedReader(io.RawIOBase):
    """Stream of the bytes in a chunked body.

    Args:
        fp: Stream of the bytes on the wire, closed with this one.
    """

    def __init__(self, fp: io.BufferedReader) -> None:
        self._fp = fp
        self._decoder = ChunkDecoder()
        self._decoded = b""

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        """Read bytes of the body; 0 only at its end.

        Raises:
            ChunkError: If the body is malformed.
            RemoteDisconnected: If the peer closes the connection within the body.
        """
        while not self._decoded and not self._decoder.is_complete:
            data = self._fp.read1(READ_BYTES)
            if not data:
                raise http.client.RemoteDisconnected("the chunked body is cut")
            self._decoded = self._decoder.feed(data)
        n_bytes = min(len(buffer), len(self._decoded))
        buffer[:n_bytes] = self._decoded[:n_bytes]
        self._decoded = self._decoded[n_bytes:]
        return n_bytes

    def close(self) -> None:
        """Close both streams."""
        self._fp.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """Response whose head is bounded, and refused if it or a chunked body is cut."""

    fp: Any

    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader: FairSocket = sock

    def begin(self) -> None:
        """Read the head and the interim responses before it.

        Bytes of the body that arrive with the head and fit into the socket's read
        buffer count as well.

        Raises:
            OversizedMessageError: If the head is longer than `MAX_HEAD_BYTES`.
            BadStatusLine: If the status line is malformed.
            FieldLineError: If a field is malformed.
            RemoteDisconnected: If the peer closes the connection within the head, whose
                first lines would otherwise pass for a whole head with an empty body.
        """
        self._reader.limit_bytes(MAX_HEAD_BYTES)
        stream = self.fp
        try:
            super().begin()
        finally:
            self.fp = stream
        limit_body(self._reader, MAX_BODY_BYTES)
        if self.chunked:
            # The reader of the base class takes the connection's end for the last
            # chunk, and so does the one in `urllib3.HTTPResponse.stream`.
            self.fp = io.BufferedReader(_ChunkedReader(self.fp))
            self.chunked = False

    def _read_status(self) -> tuple[str, int, str]:
        # The reader of the base class takes statuses up to 999 or with a sign, each
        # version that begins with "HTTP/1.", and interim responses for final ones.
        found = read_final_status(self.fp, MAX_HEAD_BYTES)
        # The base class reads the fields next.
        self.fp = FieldReader(self.fp)
        return found.version, found.status, found.reason


class BoundedConnection(HTTPConnection):
    """HTTP connection that bounds each response as a whole.

    The timeout of reading, which urllib3 gives to each read, is here also the time
    within which the whole response must arrive, unless `limit_progress` is called after
    its head.
    """

    response_class = _BoundedResponse
    _reader: FairSocket

    @property
    def n_received(self) -> int:
        """Return how many bytes of the response have been read, with its head."""
        return self._reader.n_received

    def getresponse(self) -> Any:
        """Return the response, of which the head has been read.

        Raises:
            OversizedMessageError: If the head is longer than `MAX_HEAD_BYTES`.
            BadStatusLine: If the status line is malformed.
            FieldLineError: If a field is malformed.
            RemoteDisconnected: If the peer closes the connection within the head.
            TimeoutError: If the head does not arrive within the timeout.
        """
        assert isinstance(self.sock, FairSocket)
        # The base class drops the socket of a connection that is not kept alive.
        self._reader = self.sock
        self._reader.limit_time(self.timeout)
        return super().getresponse()

    def hold(self, *, is_reserved: bool = False) -> Holding:
        """Return a holding of the response that is being read.

        If it is evicted, the connection is shut down.

        Args:
            is_reserved: See `Holding`.
        """
        return PROCESS_BUDGET.hold(
            f"{self.host}:{self.port}", self._reader.abort, is_reserved=is_reserved
        )

    def read_body(
        self,
        resp: Any,
        max_bytes: int = MAX_BODY_BYTES,
        *,
        is_reserved: bool = False,
    ) -> bytes:
        """Return the whole body of a response of this connection, as it was sent.

        Args:
            resp: The response.
            max_bytes: Largest body that is accepted.
            is_reserved: See `Holding`.

        Raises:
            OversizedMessageError: If the body is larger, which its length may tell
                before it is read, or if all messages of this process together are too
                large and this one is dropped.
            urllib3.exceptions.HTTPError: If the body does not arrive whole.
            OSError: If the connection breaks.
        """
        limit_body(self._reader, max_bytes)
        if (resp.length_remaining or 0) > max_bytes:
            raise OversizedMessageError(
                f"the body has {resp.length_remaining} bytes, the largest allowed "
                f"has {max_bytes}"
            )
        # One buffer: an object for each chunk of a few bytes would take many times
        # their size.
        body = bytearray()
        with self.hold(is_reserved=is_reserved) as holding:
            while data := resp.read1(READ_BYTES, decode_content=False):
                body += data
                holding.resize(len(body))
                holding.check()
                if len(body) > max_bytes:
                    raise OversizedMessageError(
                        f"the body is over {max_bytes} bytes, the largest allowed"
                    )
            holding.check()
        return bytes(body)

    def limit_time(self, seconds: float) -> None:
        """Set in how many seconds the rest of the response must arrive."""
        self._reader.limit_time(seconds)

    def limit_progress(self, stall_s: float, seconds: float) -> None:
        """Set how long the rest of the response may take; see `FairSocket`."""
        self._reader.limit_progress(stall_s, seconds)

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


def read_body(
    resp: Any, max_bytes: int = MAX_BODY_BYTES, *, is_reserved: bool = False
) -> bytes:
    """Return the whole body of a response from a `new_pool`.

    Args:
        resp: The response, of which the body has not been read.
        max_bytes: Largest body that is accepted.
        is_reserved: See `Holding`.

    Raises:
        OversizedMessageError: See `BoundedConnection.read_body`.
        urllib3.exceptions.HTTPError: If the body does not arrive whole.
        OSError: If the connection breaks.
    """
    return get_connection(resp).read_body(resp, max_bytes, is_reserved=is_reserved)


def get_connection(resp: Any) -> BoundedConnection:
    """Return the connection of a response from a `new_pool`.

    A response that has been read, or has failed, no longer has it.
    """
    conn = resp.connection
    assert isinstance(conn, BoundedConnection)
    return conn
