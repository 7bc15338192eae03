"""Steps that write lines through the log queue into a pipe."""

import json
import time

import eventlet
from behave import given, then, when
from behave.runner import Context
from eventlet import patcher

from hawthornyard.core import ManualClock
from hawthornyard.io.log_queue import LogQueue

READ_BYTES = 1 << 20

# Eventlet's patched `os.read` waits on an empty pipe instead of raising
# BlockingIOError.
os = patcher.original("os")


def _format_dropped(n_lines: int) -> str:
    return json.dumps({"event": "log_dropped", "n_lines": n_lines}) + "\n"


@given("a log queue that writes into a pipe that nobody reads")
def make_queue(context: Context) -> None:
    context.read_fd, write_fd = os.pipe()
    os.set_blocking(context.read_fd, False)
    context.clock = ManualClock(100.0)
    context.queue = LogQueue(write_fd, context.clock, _format_dropped)
    context.n_queued = 0


@when("{n:d} lines of {size:d} bytes are queued as {kind}")
def queue_lines(context: Context, n: int, size: int, kind: str) -> None:
    begun_at = time.monotonic()
    line = json.dumps({"event": "x", "pad": "y" * (size - 26)}) + "\n"
    for _ in range(n):
        context.queue.put(line, skips_rate_limit=kind == "warnings")
    eventlet.sleep(0)
    context.seconds = time.monotonic() - begun_at
    context.n_queued += n


@when("the pipe is read to its end")
def read_pipe(context: Context) -> None:
    # Longer than the shortest time between two reports of dropped lines.
    context.clock.advance(2.0)
    context.data = b""
    _read_available(context)
    context.queue.put(json.dumps({"event": "last"}) + "\n", skips_rate_limit=True)
    context.queue.flush()
    _read_available(context)


def _read_available(context: Context) -> None:
    while True:
        try:
            context.data += os.read(context.read_fd, READ_BYTES)
        except BlockingIOError:
            if not context.queue._lines:
                return
            context.queue.flush()


@then("queueing them took less than {seconds:g} seconds")
def check_seconds(context: Context, seconds: float) -> None:
    assert context.seconds < seconds, context.seconds


@then("at most {n:d} bytes are queued")
def check_bytes(context: Context, n: int) -> None:
    assert context.queue._n_bytes <= n, context.queue._n_bytes


@then("every received line is complete JSON")
def check_lines(context: Context) -> None:
    assert context.data.endswith(b"\n")
    context.lines = [json.loads(line) for line in context.data.splitlines()]


@then("the received lines and those reported as dropped add up to {n:d}")
def check_total(context: Context, n: int) -> None:
    n_received = sum(line["event"] == "x" for line in context.lines)
    reports = [line for line in context.lines if line["event"] == "log_dropped"]
    n_dropped = sum(line["n_lines"] for line in reports)
    assert n_dropped > 0, reports
    assert n_received + n_dropped == n, (n_received, n_dropped)


@then("at most {n:d} of them were kept")
def check_kept(context: Context, n: int) -> None:
    kept = context.n_queued - context.queue.n_dropped
    assert 0 < kept <= n, kept


@then("a warning queued after them is kept")
def check_warning(context: Context) -> None:
    before = context.queue.n_dropped
    context.queue.put("{}\n", skips_rate_limit=True)
    assert context.queue.n_dropped == before
