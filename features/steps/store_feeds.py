"""Steps on the feeds of the platform's store."""

import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.peers import RecordingInbox
from features.support.platform_world import CONFIG, route
from features.support.scripted import read_message
from hawthornyard.core import Decision
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.edge.messages import DeploymentRead, EndpointsRead, StoreFailed
from hawthornyard.errors import PlatformError
from hawthornyard.platform.feeds import EndpointTableDecoder, OperatorTableDecoder
from hawthornyard.platform.store import PlatformStore, StoredRow
from hawthornyard.stores import HttpHostList, HttpTableStore

FEED = "operator"
VERSION = 5
KB = 1000
FORCE_TIMEOUT_S = 20.0
OUTAGE_S = 1.0
SAMPLE_S = 0.01
MAX_READS = 10

CLIENTS: dict[str, Callable[[str], Any]] = {
    "table service": lambda url: HttpTableStore(url).scan("records/"),
    "host list": lambda url: HttpHostList(url).read(),
}
ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:80",
    "zone": "domain-1",
    "slots": 6,
    "state": "ready",
}
ENTRIES = {"ready": json.dumps(ENTRY).encode(), "removed": None, "malformed": b"{"}
BODY = {"rows": [], "head": 1, "ver": 1, "now_ms": 1, "revision": 1, "hosts": []}


def _logged(context: Context, name: str) -> list[Decision]:
    return [msg for msg in context.edge.messages_of(Decision) if msg.name == name]


@when(
    "calls of the operator feed fail every {interval_s:g} s for {seconds:g} s "
    "with {n:d} bytes received"
)
def fail_calls(context: Context, interval_s: float, seconds: float, n: int) -> None:
    edge = context.edge
    until = edge.clock.now() + seconds
    while edge.clock.now() < until:
        sent_at = edge.clock.now()
        edge.push(
            StoreFailed(FEED, "cut", sent_at, after_version=VERSION, n_received=n)
        )
        edge.advance(interval_s)


@then("the log tells {n_lost:d} store_lost and {n_failed:d} store_call_failed")
def check_failed_calls(context: Context, n_lost: int, n_failed: int) -> None:
    lost, failed = _logged(context, "store_lost"), _logged(context, "store_call_failed")
    assert (len(lost), len(failed)) == (n_lost, n_failed), (lost, failed)
    context.decisions = lost + failed


@then("each of these tells version {version:d} and {n:d} bytes")
def check_details(context: Context, version: int, n: int) -> None:
    for decision in context.decisions:
        details = decision.details
        assert details["after_version"] == version, details
        assert details["n_received"] == n, details


@when(
    "version {version:d} comes into force {seconds:g} s after the store's answer began"
)
def apply_late(context: Context, version: int, seconds: float) -> None:
    answered_at = context.edge.clock.now()
    context.edge.advance(seconds)
    context.edge.push_deployment(version, answered_at=answered_at)


@then("the log tells that it was applied after {seconds:g} s")
def check_applied(context: Context, seconds: float) -> None:
    decision = _logged(context, "deployment")[-1]
    assert decision.details["applied_s"] == seconds, decision


def _put_version(context: Context, version: int, n_routes: int) -> None:
    routes = [*CONFIG["routes"]]
    routes += [route(f"added-{version}-{n}", "idempotent") for n in range(n_routes)]
    config = {**CONFIG, "version": version, "routes": routes}
    context.world.store.put("op", "config", config)


def _wait_for_version(context: Context, version: int, timeout_s: float) -> None:
    directory = context.world.gateway.state.directory
    error = AssertionError(f"version {version} is not in force within {timeout_s} s")
    with eventlet.Timeout(timeout_s, error):
        while directory.version != version:
            eventlet.sleep(SAMPLE_S)


@given("version {version:d} with {n:d} routes is in force over a link of {rate:d} KB/s")
def start_with_version(context: Context, version: int, n: int, rate: int) -> None:
    _put_version(context, version, n)
    _wait_for_version(context, version, FORCE_TIMEOUT_S)
    context.world.store.bytes_per_s = rate * KB
    context.version = version


@when("version {version:d} with {n:d} routes is written in an outage of the store")
def miss_version(context: Context, version: int, n: int) -> None:
    _miss(context, range(version, version + 1), n)


@when("{count:d} versions with {n:d} routes are written in an outage of the store")
def miss_versions(context: Context, count: int, n: int) -> None:
    first = context.version + 1
    _miss(context, range(first, first + count), n)


def _miss(context: Context, versions: range, n_routes: int) -> None:
    store = context.world.store
    store.is_down = True
    for version in versions:
        _put_version(context, version, n_routes)
    eventlet.sleep(OUTAGE_S)
    store.is_down = False
    context.version = versions[-1]


@then("version {version:d} is in force within {seconds:g} s of the store's return")
def check_in_force(context: Context, version: int, seconds: float) -> None:
    _wait_for_version(context, version, seconds)


@then("the last of them is in force within {seconds:g} s of the store's return")
def check_last_in_force(context: Context, seconds: float) -> None:
    _wait_for_version(context, context.version, seconds)


@when(
    "a storm writes a version with {n:d} routes every {interval_s:g} s "
    "for {seconds:g} s"
)
def write_storm(context: Context, n: int, interval_s: float, seconds: float) -> None:
    context.world.store.tables_read.clear()
    written_at: dict[int, float] = {context.version: time.monotonic()}
    context.ages_s = []
    writer = eventlet.spawn(_write, context, n, interval_s, seconds, written_at)
    directory = context.world.gateway.state.directory
    while not writer.dead or directory.version != max(written_at):
        missed = [
            at for version, at in written_at.items() if version > directory.version
        ]
        context.ages_s.append(time.monotonic() - min(missed) if missed else 0.0)
        assert context.ages_s[-1] < FORCE_TIMEOUT_S, "the last version is not in force"
        eventlet.sleep(SAMPLE_S)


def _write(
    context: Context,
    n_routes: int,
    interval_s: float,
    seconds: float,
    written_at: dict[int, float],
) -> None:
    for version in range(
        context.version + 1, context.version + round(seconds / interval_s)
    ):
        _put_version(context, version, n_routes)
        written_at[version] = time.monotonic()
        eventlet.sleep(interval_s)


@then("the version in force was never more than {seconds:g} s old")
def check_ages(context: Context, seconds: float) -> None:
    assert max(context.ages_s) <= seconds, max(context.ages_s)


@then("no whole table was read meanwhile")
def check_no_table_read(context: Context) -> None:
    assert "op" not in context.world.store.tables_read


@given("a server whose body of {n:d} pieces comes every {interval_s:g} s")
def start_slow_server(context: Context, n: int, interval_s: float) -> None:
    body = json.dumps(BODY).encode()
    _serve(context, body.ljust(n * len(body)), len(body), interval_s)


@given("a server that sends {part} and then nothing")
def start_silent_server(context: Context, part: str) -> None:
    body = json.dumps(BODY).encode()
    n_sent = {"nothing": None, "a head": 0, "half a body": len(body) // 2}[part]
    _serve(context, body, len(body), 0.0, n_sent=n_sent, is_whole=False)


def _serve(
    context: Context,
    body: bytes,
    n_piece: int,
    interval_s: float,
    *,
    n_sent: int | None = None,
    is_whole: bool = True,
) -> None:
    listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{listener.getsockname()[1]}"
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    def answer(sock: Any) -> None:
        read_message(sock)
        if not is_whole:
            if n_sent is not None:
                sock.sendall(head + body[:n_sent])
            eventlet.sleep(FORCE_TIMEOUT_S)
            return
        with contextlib.suppress(OSError):
            sock.sendall(head)
            for start in range(0, len(body), n_piece):
                eventlet.sleep(interval_s)
                sock.sendall(body[start : start + n_piece])
        sock.close()

    def accept() -> None:
        while True:
            eventlet.spawn_n(answer, listener.accept()[0])

    context.add_cleanup(eventlet.spawn(accept).kill)


@when("it is read by the platform's client")
def read_store(context: Context) -> None:
    _read(context, lambda: PlatformStore(context.address).read("op"))


@when("it is read again and again by the platform's client")
def read_store_until_success(context: Context) -> None:
    store = PlatformStore(context.address)
    context.n_failed = -1
    context.error = PlatformError()
    while context.error is not None and context.n_failed < MAX_READS:
        context.n_failed += 1
        _read(context, lambda: store.read("op"))


@when("it is read by the {client}")
def read_service(context: Context, client: str) -> None:
    _read(context, lambda: CLIENTS[client](f"http://{context.address}"))


def _read(context: Context, call: Callable[[], Any]) -> None:
    context.error = None
    started_at = time.monotonic()
    try:
        call()
    except PlatformError as exc:
        context.error = exc
    context.seconds = time.monotonic() - started_at


@then("the read succeeds")
def check_read(context: Context) -> None:
    assert context.error is None, context.error


@then("the read fails within {seconds:g} s")
def check_failed_read(context: Context, seconds: float) -> None:
    assert context.error is not None
    assert context.seconds <= seconds, context.seconds


@then("at most {n:d} reads failed")
def check_n_failed(context: Context, n: int) -> None:
    assert context.n_failed <= n, context.n_failed


@given("an answer with the versions {versions} of the deployment")
def answer_versions(context: Context, versions: str) -> None:
    context.rows = []
    for number, name in enumerate(_items(versions)):
        value = b"{"
        if name != "malformed":
            value = json.dumps({**CONFIG, "version": int(name)}).encode()
        context.rows.append(StoredRow("config", value, number))


@given("an answer in which desk-a is {states}")
def answer_entries(context: Context, states: str) -> None:
    context.rows = [
        StoredRow("desk-a", ENTRIES[state], number)
        for number, state in enumerate(_items(states))
    ]


def _items(text: str) -> list[str]:
    return text.replace(" and then ", ", ").replace(" and ", ", ").split(", ")


@when("the operators' rows are decoded")
def decode_operator_rows(context: Context) -> None:
    _decode(context, OperatorTableDecoder)


@when("the endpoints' rows are decoded")
def decode_endpoint_rows(context: Context) -> None:
    _decode(context, EndpointTableDecoder)


def _decode(context: Context, decoder: Callable[[RecordingInbox], Any]) -> None:
    context.inbox = RecordingInbox()
    decoder(context.inbox).decode(context.rows, is_complete=False, answered_at=0.0)


@then("only version {version:d} is passed on")
def check_passed_on(context: Context, version: int) -> None:
    read = [msg for msg in context.inbox.messages if isinstance(msg, DeploymentRead)]
    assert [msg.deployment.version for msg in read] == [version], read


@then("{n:d} of its endpoints are gone")
def check_gone(context: Context, n: int) -> None:
    (read,) = context.inbox.messages
    assert isinstance(read, EndpointsRead)
    assert len(set(read.gone)) == n, read
