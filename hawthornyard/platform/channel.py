"""Call an endpoint over a connection of its own."""

import http.client
import socket

import urllib3
from urllib3.connection import HTTPConnection

from ..rim import split_address

CONNECT_TIMEOUT_S = 0.25
"""Bound on connecting, many times the way there and back; what a dead host or a lost
packet would take longer is better spent on another endpoint."""

TCP_USER_TIMEOUT_MS = 2000
"""Sent bytes may stay unacknowledged for so long before the host counts as dead."""

KEEPALIVE_INTERVAL_S = 1
"""Seconds between probes of a silent connection; three unanswered ones end it."""

CALL_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""What a call of an endpoint may raise."""

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
) -> HTTPConnection:
    """Return a connection to an endpoint that was never used before.

    A call on a connection of its own can't meet what an earlier call left behind,
    and a failure to connect proves that nothing has run.

    Args:
        address: "address:port".
        timeout_s: Bound on connecting.

    Raises:
        urllib3.exceptions.HTTPError: If the endpoint can't be reached.
        OSError: If the endpoint can't be reached.
    """
    host, port = split_address(address)
    conn = HTTPConnection(host, port, timeout=timeout_s, socket_options=SOCKET_OPTIONS)
    conn.connect()
    return conn


def call_once(
    method: str, address: str, path: str, body: str, timeout_s: float
) -> tuple[int, bytes]:
    """Return the status and the body of an answer to a small call.

    Args:
        method: Method of the call.
        address: "address:port".
        path: Path of the call.
        body: JSON, empty for none.
        timeout_s: Bound on the wait for the answer.

    Raises:
        urllib3.exceptions.HTTPError: If there was no answer.
        http.client.HTTPException: If the answer was not HTTP.
        OSError: If the endpoint can't be reached.
    """
    conn = open_connection(address)
    try:
        conn.timeout = timeout_s
        conn.request(
            method,
            path,
            body=body.encode() or None,
            headers={"Content-Type": "application/json"} if body else {},
        )
        resp = conn.getresponse()
        return resp.status, resp.data
    finally:
        conn.close()
