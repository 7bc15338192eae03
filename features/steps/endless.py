"""Steps in which another process sends bytes without end.

The sender is a process of its own: within one process, the receiver's loop would hold
up the sender as well, and no read would ever find more data.
"""

import contextlib
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import msgpack
from behave import given, then, when
from behave.runner import Context

from features.support.platform_bytes import (
    BADGE,
    BADGE_REQUEST_LINE,
    LAST_CHUNK,
    SIGNATURE_HEADERS,
    STREAM_HEAD,
    SUMMARY,
    VALID_HEADERS,
)
from features.support.processes import ROOT
from hawthornyard.codec.msgpack import MsgpackDecoder
from hawthornyard.errors import PlatformError
from hawthornyard.io import freeze_startup_objects
from hawthornyard.io.endpoint_calls import CALL_ERRORS, call_once
from hawthornyard.net import ChunkDecoder
from hawthornyard.platform.events import EventSplitter
from hawthornyard.platform.reports import REPORT_TIMEOUT_S
from hawthornyard.platform.store import PlatformStore

HEARTBEAT_S = 0.002
MAX_STALL_S = 0.05
CALL_TIMEOUT_S = 12.0

_HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS
_CHUNKED_HEAD = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_REQUEST_HEAD = BADGE_REQUEST_LINE + VALID_HEADERS
_CHUNKED_REQUEST = _REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _drain(feed: Callable[[bytes], Iterable[Any]]) -> Callable[[bytes], Any]:
    return lambda data: list(feed(data))


PREFIXES = {
    "nothing": b"",
    "the start of a head": _HEAD + b"X-A: ",
    "a head with a length": _HEAD + b"Content-Length: 999999999999\r\n\r\n",
    "a head without a length": _HEAD + b"Connection: close\r\n\r\n",
    "a head of a chunked body": _CHUNKED_HEAD,
    "a head of a chunked stream": STREAM_HEAD,
    "a head of status 000": _HEAD.replace(b"200 OK", b"000") + b"\r\n",
    "a head of status 600": _HEAD.replace(b"200 OK", b"600 Odd") + b"\r\n",
    "a status line without end": b"HTTP/1.1 200 ",
    "the start of an extension": _CHUNKED_HEAD + b"5;",
    "the last chunk": _CHUNKED_HEAD + b"0\r\n",
    "a head of a stream": STREAM_HEAD.replace(
        b"Transfer-Encoding: chunked", b"Connection: close"
    ),
    "the start of a request": _REQUEST_HEAD + b"X-A: ",
    "a request with a length": _REQUEST_HEAD + b"Content-Length: 999999999\r\n\r\n",
    "a request of a chunked body": _CHUNKED_REQUEST,
    "a request and an extension": _CHUNKED_REQUEST + b"5;",
    "a request and its last chunk": _CHUNKED_REQUEST + b"0\r\n",
    "a badge": BADGE.replace(b"Connection: close\r\n", b""),
}
READERS: dict[str, Any] = {
    "the splitter of events": lambda: _drain(EventSplitter().feed),
    "the decoder of chunks": lambda: ChunkDecoder().feed,
    "the decoder of frames": lambda: _drain(
        MsgpackDecoder(max_frame_bytes=2 << 20).feed
    ),
}
MESSAGES: dict[str, Any] = {
    "the splitter of events": lambda n_bytes: b"id: 1\ndata: " + b"w" * n_bytes,
    "the decoder of chunks": lambda n_bytes: b"%x\r\n%s" % (n_bytes, b"w" * n_bytes),
    "the decoder of frames": lambda n_bytes: msgpack.packb(b"w" * n_bytes)[:-1],
}
UNITS = {
    "interim responses": b"HTTP/1.1 100 Continue\r\n\r\n",
    "letters": b"a" * 100,
    "header lines": b"X-A: a\r\n",
    "chunks of one byte": b"1\r\na\r\n",
    "chunks of 4 bytes": b"4\r\nword\r\n",
    "zeros": b"0" * 100,
    "numbered events": b"id: %d\ndata: words\n\n",
    "long events": b"id: %d\ndata: " + b"w" * 1000 + b"\n\n",
    "the same event": b"id: 1\ndata: words\n\n",
    "comments": b":\n",
    "line ends": b"\r\n",
}


class StallMeter:
    """Meter of the processor time that the loop spends without a turn for others.

    Like the programs, it exempts the objects that exist from garbage collection.

    Processor time leaves out how long other processes hold the machine.

    Attributes:
        longest_s: Longest time between two turns of the meter, in seconds.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        freeze_startup_objects()
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the meter."""
        self._thread.kill()

    def _run(self) -> None:
        while True:
            before = time.thread_time()
            eventlet.sleep(HEARTBEAT_S)
            self.longest_s = max(self.longest_s, time.thread_time() - before)


@given("an endpoint that sends {prefix}, then {unit} without end")
def add_endless_endpoint(context: Context, prefix: str, unit: str) -> None:
    address = start_sender(context, PREFIXES[prefix], UNITS[unit])
    context.world.add_entry("i-1", address)
    context.world.wait_ready()
    with eventlet.Timeout(CALL_TIMEOUT_S):
        while context.world.gateway.state.endpoints.get("i-1") is None:
            eventlet.sleep(0.01)


@given("a server that sends {prefix}, then {unit} without end")
def start_endless_server(context: Context, prefix: str, unit: str) -> None:
    context.address = start_sender(context, PREFIXES[prefix], UNITS[unit])


@given("a server that sends one byte of a body every {interval_s:g} s")
def start_slow_server(context: Context, interval_s: float) -> None:
    listener = eventlet.listen(("127.0.0.1", 0))
    context.address = f"127.0.0.1:{listener.getsockname()[1]}"
    context.add_cleanup(eventlet.spawn(_drip, listener, interval_s).kill)


@when("the loop is watched while a caller sends a {name}")
def send_watched(context: Context, name: str) -> None:
    context.meter = StallMeter()
    context.response = context.world.send({"badge": BADGE, "summary": SUMMARY}[name])
    context.meter.stop()


@when("the loop is watched while {call} is called there")
def call_watched(context: Context, call: str) -> None:
    context.meter = StallMeter()
    started_at = time.monotonic()
    context.outcome = "no error"
    try:
        if call == "the store":
            PlatformStore(context.address).read("servers")
        else:
            call_once("GET", context.address, "/report", "", REPORT_TIMEOUT_S)
    except (*CALL_ERRORS, PlatformError) as exc:
        context.outcome = repr(exc)
    context.seconds = time.monotonic() - started_at
    context.meter.stop()


@when("another process sends the gateway {prefix}, then {unit} without end")
def send_endless_request(context: Context, prefix: str, unit: str) -> None:
    context.world.wait_ready()
    context.meter = StallMeter()
    context.sender = _run_sender(
        context, PREFIXES[prefix], UNITS[unit], str(context.world.gateway.port)
    )


@when("a caller sends one byte of a head every {interval_s:g} s")
def send_slow_head(context: Context, interval_s: float) -> None:
    context.world.wait_ready()
    program = (
        "import socket, sys, time\n"
        "sock = socket.create_connection(('127.0.0.1', int(sys.argv[1])))\n"
        "sock.sendall(b'GET / HTTP/1.1\\r\\n')\n"
        "for _ in range(200):\n"
        "    sock.sendall(b'a')\n"
        "    time.sleep(float(sys.argv[2]))\n"
    )
    _run_watched(context, program, context.world.gateway.port, interval_s)


@when("another process sends the gateway datagrams for {seconds:g} s")
def send_datagrams(context: Context, seconds: float) -> None:
    context.world.wait_ready()
    program = (
        "import socket, sys, time\n"
        "sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)\n"
        "end = time.monotonic() + float(sys.argv[2])\n"
        "while time.monotonic() < end:\n"
        "    sock.sendto(b'x', ('127.0.0.1', int(sys.argv[1])))\n"
    )
    _run_watched(context, program, context.world.gateway.peer_port, seconds)
    _wait_for_exit(context.sender, seconds + CALL_TIMEOUT_S)


@given("a message of {n:d} KiB for {reader} and one of {m:d} KiB")
def make_messages(context: Context, n: int, reader: str, m: int) -> None:
    context.feed_of = READERS[reader]
    context.messages = [MESSAGES[reader](n_bytes) for n_bytes in (n * 1024, m * 1024)]


@when("both are fed in pieces of {n:d} bytes")
def feed_messages(context: Context, n: int) -> None:
    context.seconds_per_byte = []
    for message in context.messages:
        feed = context.feed_of()
        started_at = time.process_time()
        for start in range(0, len(message), n):
            feed(message[start : start + n])
        seconds = time.process_time() - started_at
        context.seconds_per_byte.append(seconds / len(message))


@then("the larger one takes at most {ratio:g} times as long for each byte")
def check_proportional(context: Context, ratio: float) -> None:
    larger, smaller = context.seconds_per_byte
    assert larger <= ratio * smaller, (larger, smaller)


@then("it gets a status of 502 or 504")
def check_failed(context: Context) -> None:
    status = context.response.split(b" ")[1:2]
    assert status in ([b"502"], [b"504"]), context.response[:200]


@then("it gets a stream that is cut")
def check_cut(context: Context) -> None:
    assert not context.response.endswith(LAST_CHUNK), context.response[-200:]


@then("the loop never stands still for longer than {n_ms:d} ms")
def check_stalls(context: Context, n_ms: int) -> None:
    context.meter.stop()
    assert context.meter.longest_s <= n_ms / 1000, context.meter.longest_s


@then("the endpoint's connection is closed and its failure is counted")
def check_failure_counted(context: Context) -> None:
    check_connection_closed(context)
    endpoint = context.world.gateway.state.endpoints.get("i-1")
    assert endpoint.failure_rate > 0, endpoint.failure_rate


@then("the endpoint's connection is closed")
def check_connection_closed(context: Context) -> None:
    # The sender stops when its connection is closed, and then accepts the next one.
    host, _, port = context.sender_address.partition(":")
    with eventlet.Timeout(CALL_TIMEOUT_S):
        sock = eventlet.connect((host, int(port)))
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert sock.recv(1)
        sock.close()


@then("its connection is closed within {seconds:g} s")
def check_closed(context: Context, seconds: float) -> None:
    _wait_for_exit(context.sender, seconds)


@then("the call fails within {seconds:g} s")
def check_call_failed(context: Context, seconds: float) -> None:
    assert context.outcome != "no error"
    assert context.seconds <= seconds, (context.seconds, context.outcome)


def start_sender(context: Context, prefix: bytes, unit: bytes) -> str:
    """Start a process that sends to whoever connects, and return its address."""
    sender = _run_sender(context, prefix, unit)
    context.sender_address = f"127.0.0.1:{int(sender.stdout.readline())}"
    return context.sender_address


def _run_sender(context: Context, prefix: bytes, unit: bytes, *args: str) -> Any:
    words = ("-m", "features.support.endless", prefix.hex(), unit.hex(), *args)
    return _popen(context, *words)


def _run_watched(context: Context, program: str, port: int, seconds: float) -> None:
    context.meter = StallMeter()
    context.sender = _popen(context, "-c", program, str(port), str(seconds))


def _popen(context: Context, *words: str) -> Any:
    process = subprocess.Popen(
        [sys.executable, *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    context.add_cleanup(_end, process)
    return process


def _end(process: Any) -> None:
    process.kill()
    process.wait()
    process.stdout.close()


def _wait_for_exit(process: Any, seconds: float) -> None:
    with eventlet.Timeout(seconds, AssertionError("the connection is still open")):
        while process.poll() is None:
            eventlet.sleep(0.01)


def _drip(listener: Any, interval_s: float) -> None:
    sock, _ = listener.accept()
    with contextlib.suppress(OSError):
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
        while True:
            sock.sendall(b"a")
            eventlet.sleep(interval_s)
