"""Steps on the bytes that messages hold in memory together."""

import resource
import socket
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.steps.endless import BADGE, CALL_TIMEOUT_S, PREFIXES, UNITS, start_sender
from features.support.peers import RecordingInbox
from features.support.platform_bytes import BODY, SIGNATURE_HEADERS, SUMMARY
from features.support.scripted import read_message
from hawthornyard.core import ManualClock
from hawthornyard.edge.messages import AttemptAnswered, AttemptBroke, Call, Dispatch
from hawthornyard.errors import OversizedMessageError
from hawthornyard.front.server import CONNECTION_BYTES
from hawthornyard.net import PROCESS_BUDGET, ByteBudget, Holding
from hawthornyard.platform.notices import NoticeReader
from hawthornyard.platform.runner import RunnerSink

MIB = 1024 * 1024
N_SLOW_PIECES = 16
SLOW_PIECE_S = 0.05
SAMPLE_S = 0.002
LARGE_BADGE = BADGE.replace(BODY, b"Content-Length: 4990\r\n\r\n" + b"x" * 4990)
FILLER_BYTES = CONNECTION_BYTES + 7500
"""More than the connection and the head of the badge take, so that the caller is the
one that holds most only when its body is to be read."""


class HeldMeter:
    """Meter of what all messages of this process hold.

    Attributes:
        most_bytes: Largest number of bytes that were held at once.
    """

    def __init__(self) -> None:
        self.most_bytes = 0
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop the meter."""
        self._thread.kill()

    def _run(self) -> None:
        while True:
            self.most_bytes = max(self.most_bytes, PROCESS_BUDGET.n_bytes)
            eventlet.sleep(SAMPLE_S)


@given("a budget of {n:d} bytes")
def make_budget(context: Context, n: int) -> None:
    context.budget = ByteBudget(n)
    context.holdings = []


@given("messages of 20 and 15 bytes of a and of 20 bytes of b, c and d")
def hold_of_four(context: Context) -> None:
    for owner, n_bytes in [("a", 20), ("a", 15), ("b", 20), ("c", 20), ("d", 20)]:
        _hold(context, owner, n_bytes)


@given("messages of 20 bytes of a, b, c, d and e")
def hold_of_five(context: Context) -> None:
    for owner in "abcde":
        _hold(context, owner, 20)


@given("messages of b and d are incomplete")
def begin_messages(context: Context) -> None:
    for held, _ in context.holdings:
        if held.owner in "bd":
            held.begin_message()


@when("a message of {owner} grows to {n:d} bytes")
def grow(context: Context, owner: str, n: int) -> None:
    _hold(context, owner, n)


@when("a reserved message of {owner} grows to {n:d} bytes")
def grow_reserved(context: Context, owner: str, n: int) -> None:
    _hold(context, owner, n, is_reserved=True)


@then("only the message of {n:d} bytes of {owner} is dropped")
def check_dropped(context: Context, n: int, owner: str) -> None:
    dropped = [(held.owner, size) for held, size in context.holdings if held.is_evicted]
    assert dropped == [(owner, n)], dropped
    kept = sum(size for held, size in context.holdings if not held.is_evicted)
    assert context.budget.n_bytes == kept, (context.budget.n_bytes, kept)


@when("the memory is watched while it is called as an endpoint")
def call_watched(context: Context) -> None:
    context.rss_before = _peak_rss_bytes()
    _call_endpoints(context, [context.address])


@then("the call has failed")
def check_call_failed(context: Context) -> None:
    outcome = context.outcomes["c-0.1"]
    assert isinstance(outcome, AttemptBroke), outcome


@then("the process grew by at most {n:d} MiB")
def check_growth(context: Context, n: int) -> None:
    grown = (_peak_rss_bytes() - context.rss_before) / MIB
    assert grown <= n, grown


@given("{n:d} servers that send letters without end")
def start_endless_servers(context: Context, n: int) -> None:
    prefix = PREFIXES["a head without a length"]
    context.endless = [
        start_sender(context, prefix, UNITS["letters"]) for _ in range(n)
    ]


@given("a server that sends a whole answer of 1 MiB slowly")
def start_slow_whole_server(context: Context) -> None:
    listener = eventlet.listen(("127.0.0.1", 0))
    context.sound = f"127.0.0.1:{listener.getsockname()[1]}"
    context.add_cleanup(eventlet.spawn(_send_slowly, listener).kill)


@when("all of them are called at once")
def call_all(context: Context) -> None:
    context.meter = HeldMeter()
    _call_endpoints(context, [*context.endless, context.sound])
    context.meter.stop()


@then("the answers without end have failed")
def check_endless_failed(context: Context) -> None:
    for index in range(len(context.endless)):
        outcome = context.outcomes[f"c-{index}.1"]
        assert isinstance(outcome, AttemptBroke), outcome


@then("the whole answer has arrived")
def check_whole(context: Context) -> None:
    outcome = context.outcomes[f"c-{len(context.endless)}.1"]
    assert isinstance(outcome, AttemptAnswered), outcome
    assert len(outcome.body) == MIB, len(outcome.body)


@then("all messages together never held more than the budget")
def check_held(context: Context) -> None:
    context.meter.stop()
    assert 0 < context.meter.most_bytes <= PROCESS_BUDGET.max_bytes, (
        context.meter.most_bytes
    )


@when("a caller asks for a summary and reads nothing")
def ask_without_reading(context: Context) -> None:
    context.meter = HeldMeter()
    context.n_in_flight = context.world.gateway.state.inflight.__len__
    context.caller = socket.create_connection(("127.0.0.1", context.world.gateway.port))
    context.add_cleanup(context.caller.close)
    context.caller.sendall(SUMMARY)
    with eventlet.Timeout(CALL_TIMEOUT_S):
        while not context.n_in_flight():
            eventlet.sleep(0.01)


@then("its request is cancelled within {seconds:g} s")
def check_cancelled(context: Context, seconds: float) -> None:
    with eventlet.Timeout(seconds, AssertionError("the request goes on")):
        while context.n_in_flight():
            eventlet.sleep(0.01)


@given("messages of others that fill the budget")
def fill_budget(context: Context) -> None:
    context.world.wait_ready()
    n_fillers, n_rest = divmod(PROCESS_BUDGET.max_bytes, FILLER_BYTES)
    sizes = [n_rest, *[FILLER_BYTES] * n_fillers]
    context.fillers = []
    for index, n_bytes in enumerate(sizes):
        held = PROCESS_BUDGET.hold(f"filler-{index}", lambda: None)
        context.fillers.append(held)
        context.add_cleanup(held.release)
        held.resize(n_bytes)


@when("the messages of others are gone")
def empty_budget(context: Context) -> None:
    for held in context.fillers:
        held.release()


@when("a caller posts a badge")
def post_badge(context: Context) -> None:
    context.world.wait_ready()
    context.response = context.world.send(LARGE_BADGE)


@then("the caller gets status {status:d} and nothing of it reached the endpoint")
def check_refused(context: Context, status: int) -> None:
    check_caller_status(context, status)
    assert not context.world.endpoints[0].requests, context.world.endpoints[0].requests


@then("the caller gets status {status:d}")
def check_caller_status(context: Context, status: int) -> None:
    assert context.response.startswith(b"HTTP/1.1 %d " % status), context.response


def _hold(
    context: Context, owner: str, n_bytes: int, *, is_reserved: bool = False
) -> None:
    held: Holding = context.budget.hold(owner, lambda: None, is_reserved=is_reserved)
    context.holdings.append((held, n_bytes))
    held.resize(n_bytes)
    try:
        held.check()
    except OversizedMessageError as exc:
        assert owner in str(exc), exc


def _peak_rss_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def _send_slowly(listener: Any) -> None:
    sock, _ = listener.accept()
    read_message(sock)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % MIB + SIGNATURE_HEADERS
    sock.sendall(head.replace(b"{id}", b"r-1") + b"\r\n")
    for _ in range(N_SLOW_PIECES):
        sock.sendall(b"x" * (MIB // N_SLOW_PIECES))
        eventlet.sleep(SLOW_PIECE_S)
    sock.close()


def _call_endpoints(context: Context, addresses: list[str]) -> None:
    context.inbox = RecordingInbox()
    sink = RunnerSink(context.inbox, NoticeReader(context.inbox, ManualClock()))
    for index, address in enumerate(addresses):
        call = Call(f"c-{index}", "r-1", "kiosk.example", "/badge/1")
        sink.consumers[Dispatch](
            Dispatch(f"c-{index}.1", call, address, "i-1", timeout_s=CALL_TIMEOUT_S)
        )
    outcomes: list[Any] = []
    with eventlet.Timeout(CALL_TIMEOUT_S):
        while len(outcomes) < len(addresses):
            eventlet.sleep(0.01)
            outcomes = [
                msg
                for msg in context.inbox.messages
                if isinstance(msg, AttemptAnswered | AttemptBroke)
            ]
    context.outcomes = {msg.attempt_id: msg for msg in outcomes}
