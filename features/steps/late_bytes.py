"""Steps about bytes that arrive late, and about stops while requests arrive."""

import contextlib
import json
import time
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import patcher

from features.support.peers import RecordingInbox
from features.support.platform_bytes import (
    BADGE_REQUEST_LINE,
    LAST_CHUNK,
    SIGNATURE_HEADERS,
    VALID_HEADERS,
    chunk,
)
from features.support.platform_world import PlatformWorld
from features.support.scripted import read_message
from hawthornyard.demo import Deployment
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.frames import Dispatch, Generation
from hawthornyard.front import HttpServer
from hawthornyard.io.endpoint_calls import call_once
from hawthornyard.io.engine import EngineClient
from hawthornyard.io.orders import EngineOrderClient
from hawthornyard.platform.store import PlatformStore
from hawthornyard.sidecar.messages import (
    Attempt,
    EndpointEnded,
    EndpointFailed,
    EndpointTokens,
)

TIMEOUT_S = 8.0
BODY_DELAY_S = 3.5
"""Longer than the time that a gateway listens on after it was asked to stop."""

_plain_socket = patcher.original("socket")
_REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"


@given("a server that sends each answer again at the next request")
def start_copying_server(context: Context) -> None:
    listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{listener.getsockname()[1]}"
    context.n_answers = 0
    context.add_cleanup(eventlet.spawn(_accept, context, listener).kill)


@when("{client} calls it twice")
def call_twice(context: Context, client: str) -> None:
    url = f"http://{context.address}"
    calls = {
        "the store's client": lambda: PlatformStore(context.address).read,
        "the engine client": lambda: EngineClient(url).read_load,
        "the order client": lambda: EngineOrderClient(url).read_state,
    }
    call = calls[client]()
    args = ["servers"] if client == "the store's client" else []
    context.numbers = [_number(call(*args)) for _ in range(2)]


@then("each call gets its own answer")
def check_own_answers(context: Context) -> None:
    assert context.numbers == [1, 2], context.numbers


@given("a server that sends a report {framing}")
def start_reporting_server(context: Context, framing: str) -> None:
    body = b"r" * (100_000 if "100,000" in framing else 10)
    context.body = body
    head = b"HTTP/1.1 200 OK\r\n"
    pieces = {
        "without a length and ends": [head + b"\r\n" + body],
        "without a length in pieces and ends": [head + b"\r\n", body],
        "of 100,000 bytes with their length": [
            head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        ],
        "of 100,000 bytes in chunks": [
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + LAST_CHUNK
        ],
    }
    listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{listener.getsockname()[1]}"

    def serve() -> None:
        sock, _ = listener.accept()
        read_message(sock)
        for piece in pieces[framing]:
            sock.sendall(piece)
            eventlet.sleep(0.02)
        sock.close()

    context.add_cleanup(eventlet.spawn(serve).kill)


@when("the report is read")
def read_report(context: Context) -> None:
    context.answer = call_once("GET", context.address, "/report", "", TIMEOUT_S)


@then("it is whole")
def check_whole(context: Context) -> None:
    answer = context.answer
    assert (answer.status, answer.data) == (200, context.body), answer


@given("an engine whose events come every {interval_s:g} s, and {n:d} of them")
def start_slow_engine(context: Context, interval_s: float, n: int) -> None:
    events = [b'data: {"token": "a"}\n\n'] * (n - 1)
    events.append(b'data: {"token": "a", "finish_reason": "stop"}\n\n')
    _serve_pieces(context, events, interval_s)


@given("an engine that sends a byte of its first event every {interval_s:g} s")
def start_stalled_engine(context: Context, interval_s: float) -> None:
    _serve_pieces(context, [b"d", *[b"a"] * 100], interval_s)


@when("a generation is run there with {seconds:g} s for each event")
def run_generation(context: Context, seconds: float) -> None:
    context.inbox = RecordingInbox()
    client = EngineClient(f"http://{context.address}", token_timeout_s=seconds)
    work = Generation("m", "hello", 9)
    dispatch = Dispatch("a-1", "r-1", "kiosk", "summaries", work, True, TIMEOUT_S)
    attempt = Attempt(dispatch.with_peer("gateway-1"), now=0.0)
    started_at = time.monotonic()
    with eventlet.Timeout(TIMEOUT_S, False):
        client.run(attempt, context.inbox)
    context.seconds = time.monotonic() - started_at


@then("all {n:d} tokens arrive and the generation ends")
def check_generation(context: Context, n: int) -> None:
    messages = context.inbox.messages
    assert sum(isinstance(msg, EndpointTokens) for msg in messages) == n, messages
    assert isinstance(messages[-1], EndpointEnded), messages


@then("it fails within {seconds:g} s")
def check_failed(context: Context, seconds: float) -> None:
    assert isinstance(context.inbox.messages[-1], EndpointFailed)
    assert context.seconds <= seconds, context.seconds


@given("a gateway and a sidecar")
def make_programs(context: Context) -> None:
    context.deployment = Deployment()
    host = context.deployment.add_service("frontdesk-1", "new-kingston")
    gateway = context.deployment.add_gateway("gateway-1", "new-kingston")
    context.clocks = [gateway._clock, host.sidecar._clock]


@when("the host is suspended for {seconds:g} s")
def suspend_host(context: Context, seconds: float) -> None:
    before = [clock.now() for clock in context.clocks]
    # A suspension moves this clock on and leaves the monotonic one where it was.
    read = time.clock_gettime
    time.clock_gettime = lambda number: (
        read(number) + (seconds if number == time.CLOCK_BOOTTIME else 0.0)
    )
    try:
        context.spans = [
            clock.now() - earlier
            for clock, earlier in zip(context.clocks, before, strict=True)
        ]
    finally:
        time.clock_gettime = read
    context.suspended_s = seconds


@then("the clocks of both have counted it")
def check_clocks(context: Context) -> None:
    assert min(context.spans) >= context.suspended_s, context.spans


@given("a server with {n:d} kept connections")
def start_server(context: Context, n: int) -> None:
    context.server = HttpServer((LOOPBACK, 0), _answer_slowly)
    context.server.start()
    context.sockets = [_connect(context.server.port) for _ in range(n)]
    for sock in context.sockets:
        sock.sendall(_REQUEST)
    eventlet.sleep(0.1)
    assert all(sock.recv(1000) for sock in context.sockets)


@when("{n:d} new connections and the kept ones send requests and the server stops")
def stop_under_load(context: Context, n: int) -> None:
    # Plain sockets do not let the server run between the requests and the stop.
    context.sockets += [_connect(context.server.port) for _ in range(n)]
    for sock in context.sockets:
        sock.sendall(_REQUEST)
    context.server.close()


@then("all {n:d} requests are answered and the server ends")
def check_all_answered(context: Context, n: int) -> None:
    with eventlet.Timeout(TIMEOUT_S):
        context.server.wait()
    answers = [sock.recv(1000) for sock in context.sockets]
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) == n, answers


@given("a platform gateway with an endpoint that answers")
def start_gateway(context: Context) -> None:
    context.world = PlatformWorld()
    context.add_cleanup(context.world.close)
    head = b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS
    context.world.add_endpoint([head + b"Content-Length: 4\r\n\r\nbody"])
    context.world.wait_ready()


@when("a caller sends the head of a badge and its body after the gateway stops")
def stop_before_body(context: Context) -> None:
    sock = eventlet.connect((LOOPBACK, context.world.gateway.port))
    sock.sendall(BADGE_REQUEST_LINE + VALID_HEADERS + b"Content-Length: 5\r\n\r\n")
    eventlet.sleep(0.05)
    context.world.gateway.stop()
    eventlet.sleep(BODY_DELAY_S)
    sock.sendall(b"hello")
    with eventlet.Timeout(TIMEOUT_S, False):
        context.response = sock.recv(1000)


@then("the badge is answered")
def check_badge_answered(context: Context) -> None:
    assert context.response.startswith(b"HTTP/1.1 200"), context.response


def _accept(context: Context, listener: Any) -> None:
    while True:
        sock, _ = listener.accept()
        eventlet.spawn_n(_answer_with_copies, context, sock)


def _serve_pieces(context: Context, pieces: list[bytes], interval_s: float) -> None:
    listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{listener.getsockname()[1]}"

    def serve(sock: Any) -> None:
        read_message(sock)
        with contextlib.suppress(OSError):
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for piece in pieces:
                eventlet.sleep(interval_s)
                sock.sendall(chunk(piece))
            sock.sendall(LAST_CHUNK)
        sock.close()

    def accept() -> None:
        while True:
            eventlet.spawn_n(serve, listener.accept()[0])

    context.add_cleanup(eventlet.spawn(accept).kill)


def _answer_with_copies(context: Context, sock: Any) -> None:
    last_answer = b""
    while read_message(sock):
        context.n_answers += 1
        body = json.dumps(_answer_body(context.n_answers)).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        sock.sendall(last_answer + answer)
        last_answer = answer


def _answer_body(number: int) -> dict[str, Any]:
    """Return a body that each client can read, with a number in its fields."""
    store = {"rows": [], "ver": number, "now_ms": 1}
    load = {"n_running": number, "n_waiting": 0, "memory_used": 0, "n_preempted": 0}
    state = {"fencing": number, "role": "", "models": [], "versions": {}}
    return {**store, **load, **state, "adapters": {}}


def _number(answer: Any) -> int:
    names = ("version", "n_running", "fencing_number")
    return next(getattr(answer, name) for name in names if hasattr(answer, name))


def _connect(port: int) -> Any:
    sock = _plain_socket.socket()
    sock.settimeout(TIMEOUT_S)
    sock.connect((LOOPBACK, port))
    return sock


def _answer_slowly(environ: Any, start: Any) -> list[bytes]:
    environ["wsgi.input"].read()
    eventlet.sleep(0.01)
    start("200 OK", [])
    return [b"done"]
