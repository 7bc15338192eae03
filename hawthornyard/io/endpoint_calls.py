"""Call endpoints, each time over a new connection."""

import http.client
import socket
from collections.abc import Mapping

import urllib3

from ..core import Message
from ..net import BoundedConnection
from .peer_links import split_address

CONNECT_TIMEOUT_S = 0.25
"""Connect timeout, many round-trip times long. After a longer wait for a dead host or a
lost packet, less time would be left for an attempt on another endpoint."""

TCP_USER_TIMEOUT_MS = 2000
"""Time that sent bytes may stay unacknowledged before the connection is dropped."""

KEEPALIVE_INTERVAL_S = 1
"""Interval of TCP keep-alive probes; three unanswered probes drop the connection."""

MAX_CALL_ANSWER_BYTES = 1024 * 1024
"""Largest answer to a small request, such as a report."""

CALL_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""Exceptions that a call to an endpoint may raise."""

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]


def open_connection(
    address: str, *, timeout_s: float = CONNECT_TIMEOUT_S
) -> BoundedConnection:
    """Open a new connection to an endpoint.

    Connections are not reused: bytes left over from an earlier call can't be taken
    for the response, and a failure to connect proves that the request has not run.

    Args:
        address: "address:port".
        timeout_s: Connect timeout in seconds.

    Raises:
        urllib3.exceptions.HTTPError: If the endpoint can't be reached.
        OSError: If the endpoint can't be reached.
        ValueError: If the address has no numeric port.
    """
    host, port = split_address(address)
    conn = BoundedConnection(
        host, port, timeout=timeout_s, socket_options=SOCKET_OPTIONS
    )
    conn.connect()
    return conn


def is_refused(exc: BaseException) -> bool:
    """Return whether a call failed because no process listens at the address."""
    return isinstance(exc, ConnectionRefusedError) or isinstance(
        exc.__cause__, ConnectionRefusedError
    )


class CallAnswer(Message):
    """The whole answer to one small request.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        data: Body of the answer.
    """

    __slots__ = ("status", "headers", "data")

    def __init__(self, status: int, headers: Mapping[str, str], data: bytes) -> None:
        self.status = status
        self.headers = headers
        self.data = data


def call_once(
    method: str, address: str, path: str, body: str, timeout_s: float
) -> CallAnswer:
    """Send one small request, without retries, and return the response.

    Args:
        method: HTTP method.
        address: "address:port".
        path: Path and query.
        body: JSON text, empty for no body.
        timeout_s: Seconds within which the whole response must arrive.

    Raises:
        urllib3.exceptions.HTTPError: If there is no response.
        http.client.HTTPException: If the response is not HTTP.
        OSError: If the endpoint can't be reached.
        ValueError: If the address has no numeric port.
    """
    return call_on(open_connection(address), method, path, body, timeout_s)


def call_on(
    conn: BoundedConnection, method: str, path: str, body: str, timeout_s: float
) -> CallAnswer:
    """Send one small request on a new connection, close it, return the response.

    Args:
        conn: The connection.
        method: HTTP method.
        path: Path and query.
        body: JSON text, empty for no body.
        timeout_s: Seconds within which the whole response must arrive.

    Raises:
        urllib3.exceptions.HTTPError: If there is no response.
        http.client.HTTPException: If the response is not HTTP.
        OSError: If the connection breaks.
    """
    try:
        conn.timeout = timeout_s
        conn.request(
            method,
            path,
            body=body.encode() or None,
            headers={"Content-Type": "application/json"} if body else {},
            preload_content=False,
        )
        resp = conn.getresponse()
        data = conn.read_body(resp, MAX_CALL_ANSWER_BYTES)
        return CallAnswer(resp.status, resp.headers, data)
    finally:
        conn.close()
