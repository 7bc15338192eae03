"""Steps on the framing of callers' requests and of their answers."""

import socket

import eventlet
from behave import then, when
from behave.runner import Context

from features.support.platform_bytes import BADGE, BADGE_REQUEST_LINE, CLOSE, HOST
from features.support.platform_bytes import VALID_HEADERS as HEADERS_WITH_CLOSE

TIMEOUT_S = 5.0
_KEPT_HEADERS = HEADERS_WITH_CLOSE.replace(CLOSE, b"")
_HEAD_REQUEST = b"HEAD /nowhere/1 HTTP/1.1\r\n" + HOST
_HEAD_REQUEST += b"X-Hawthornyard-Request-Id: r-0\r\n\r\n"


@when("a HEAD request without a route and then a badge are sent on one connection")
def send_head_and_badge(context: Context) -> None:
    context.world.wait_ready()
    with eventlet.Timeout(TIMEOUT_S):
        sock = eventlet.connect(("127.0.0.1", context.world.gateway.port))
        sock.sendall(_HEAD_REQUEST)
        context.head_answer = sock.recv(65536)
        sock.sendall(BADGE)
        context.response = _read_all(sock)


@then("the first answer ends with its head, and the second one is the badge's")
def check_answers(context: Context) -> None:
    assert context.head_answer.startswith(b"HTTP/1.1 404 "), context.head_answer
    assert context.head_answer.endswith(b"\r\n\r\n"), context.head_answer
    assert context.response.startswith(b"HTTP/1.1 200 "), context.response


@when("a badge is sent in chunks that begin with {wire}, and another one behind them")
def send_chunks(context: Context, wire: str) -> None:
    context.world.wait_ready()
    head = BADGE_REQUEST_LINE + _KEPT_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = wire.encode().decode("unicode_escape").encode()
    with eventlet.Timeout(TIMEOUT_S):
        sock = eventlet.connect(("127.0.0.1", context.world.gateway.port))
        sock.sendall(head + chunks + BADGE)
        context.response = _read_all(sock)


@then("the connection is closed without a second answer")
def check_one_answer(context: Context) -> None:
    assert context.response.count(b"HTTP/1.1 ") == 1, context.response


@then("the endpoint gets {n:d} requests, the first with the body {body}")
def check_requests(context: Context, n: int, body: str) -> None:
    requests = context.world.endpoints[0].requests
    assert len(requests) == n, requests
    assert requests[0].endswith(body.encode()), requests[0]


def _read_all(sock: socket.socket) -> bytes:
    data = b""
    # A connection that closes with unread bytes may end with a reset.
    try:
        while piece := sock.recv(65536):
            data += piece
    except ConnectionResetError:
        pass
    return data
