"""Steps that hand malformed rows, answers and addresses to the readers."""

import errno
import json
from typing import Any
from unittest import mock

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.peers import PEER_NAME, ListeningPeer, RecordingInbox
from features.support.platform_world import CONFIG
from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import PeerUp
from hawthornyard.demo import wait_until
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.errors import ErrorKind, HawthornyardError
from hawthornyard.frames import ConfigPush, LeavingNotice
from hawthornyard.io import ConfigPoller, Connections, PeerListener
from hawthornyard.io.claim_codec import decode_claim
from hawthornyard.io.datagrams import DatagramTransport
from hawthornyard.platform.endpoint import decode_report
from hawthornyard.platform.feeds import EndpointTableDecoder
from hawthornyard.platform.store import PlatformStore
from hawthornyard.stores import Page, Row

DEEP_LISTS = b"[" * 100_000
TIMEOUT_S = 5.0
VALUES = {
    "limits that are a list": json.dumps({**CONFIG, "version": 8, "limits": [1]}),
    "routes that are a text": json.dumps({**CONFIG, "version": 8, "routes": "all"}),
    "deeply nested lists": DEEP_LISTS.decode(),
    "a version of 400 digits": json.dumps({**CONFIG, "version": int("9" * 400)}),
    "a priority of 400 digits": json.dumps(
        {
            **CONFIG,
            "version": 8,
            "tenants": [{**CONFIG["tenants"][0], "priority": int("9" * 400)}],
        }
    ),
}
ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "domain-1",
    "slots": 6,
    "state": "ready",
    "born": 1,
}
FIELD_VALUES = {
    "400 digits": "9" * 400,
    "deeply nested lists": DEEP_LISTS.decode(),
}


class FailingOnce:
    """Listening socket whose first accept fails for want of descriptors."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._has_failed = False

    def accept(self) -> Any:
        if not self._has_failed:
            self._has_failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        return self._sock.accept()

    def close(self) -> None:
        self._sock.close()


class FixedTable:
    """Table service whose scan returns given rows."""

    def __init__(self, rows: list[Row]) -> None:
        self._rows = rows

    def scan(self, prefix: str, *, after: int) -> Page:
        return Page(self._rows, self._rows[-1].revision)


@when("the deployment is overwritten with {name} and then with a valid version")
def overwrite_twice(context: Context, name: str) -> None:
    store = context.world.store
    context.world.wait_ready()
    store.put("op", "config", VALUES[name].encode())
    eventlet.sleep(0.2)
    store.put("op", "config", {**CONFIG, "version": 9})


@then("the valid version is in force")
def check_version(context: Context) -> None:
    directory = context.world.gateway.state.directory
    wait_until(lambda: directory.version == 9, timeout_s=TIMEOUT_S)


@when("an endpoint is listed with {field} {value} and then one without faults")
def list_malformed(context: Context, field: str, value: str) -> None:
    context.world.wait_ready()
    text = FIELD_VALUES.get(value, value)
    row = json.dumps({**ENTRY, field: "?"}).replace('"?"', text)
    context.world.store.put("servers", "i-odd", row.encode())
    eventlet.sleep(0.1)
    context.world.store.put("servers", "i-plain", ENTRY)


@given("a decoder of entries that fails once")
def fail_once(context: Context) -> None:
    decode = EndpointTableDecoder.decode
    has_failed = False

    def decode_or_fail(self: EndpointTableDecoder, rows: Any, **kwargs: Any) -> None:
        nonlocal has_failed
        if rows and not has_failed:
            has_failed = True
            raise OverflowError("a fault of the decoder")
        decode(self, rows, **kwargs)

    patch = mock.patch.object(EndpointTableDecoder, "decode", decode_or_fail)
    patch.start()
    context.add_cleanup(patch.stop)


@then("the gateway knows the one without faults")
def check_goes_on(context: Context) -> None:
    endpoints = context.world.gateway.state.endpoints
    wait_until(lambda: endpoints.get("i-plain") is not None, timeout_s=TIMEOUT_S)


@then("the gateway knows only the one without faults")
def check_known(context: Context) -> None:
    check_goes_on(context)
    assert context.world.gateway.state.endpoints.get("i-odd") is None


@when("a process decodes {name}")
def decode_answer(context: Context, name: str) -> None:
    calls = {
        "a report whose state is a list": lambda: decode_report(
            "i-1", b'{"state": []}'
        ),
        "a report of deeply nested lists": lambda: decode_report("i-1", DEEP_LISTS),
        "a store's answer of deep lists": lambda: _read_store(DEEP_LISTS),
        "a claim without its fields": lambda: decode_claim("{}"),
        "a claim that is a list": lambda: decode_claim("[]"),
        "a store's answer with a huge clock": lambda: _read_store(
            b'{"rows": [], "ver": 1, "now_ms": %s}' % (b"9" * 400)
        ),
    }
    try:
        calls[name]()
    except HawthornyardError as exc:
        context.error = exc


@then("the error has a kind of the closed list")
def check_kind(context: Context) -> None:
    assert context.error.kind in ErrorKind, context.error


@when('frames are sent to the addresses "{first}" and "{second}"')
def send_frames(context: Context, first: str, second: str) -> None:
    transport = DatagramTransport(
        (LOOPBACK, 0), MsgpackCodec(), RecordingInbox(), LeavingNotice
    )
    send = transport.consumers[LeavingNotice]
    context.errors = getattr(context, "errors", [])
    for address in (first, second):
        try:
            send(LeavingNotice("i-1", 1).with_peer(address))
        except ValueError as exc:
            context.errors.append(exc)


@then("none of them raises an error")
def check_no_errors(context: Context) -> None:
    assert not context.errors, context.errors


@given("a link to a peer whose address is malformed")
def link_to_malformed_address(context: Context) -> None:
    context.pair = ListeningPeer()
    context.links = context.pair.links(context.pair.key)
    context.links.set_addresses({PEER_NAME: f"{LOOPBACK}:many"})
    eventlet.sleep(0.1)


@when("the address is mended")
def mend_address(context: Context) -> None:
    context.links.set_addresses(context.pair.addresses)


@then("the link is up")
def check_link(context: Context) -> None:
    wait_until(
        lambda: any(isinstance(msg, PeerUp) for msg in context.pair.messages),
        timeout_s=TIMEOUT_S,
    )


@given("a peer listener whose next accept fails")
def start_failing_listener(context: Context) -> None:
    inbox = RecordingInbox()
    listener = PeerListener(
        (LOOPBACK, 0), "scribe-1", b"a key", MsgpackCodec(), Connections(inbox), inbox
    )
    context.port = listener.port
    listener._sock = FailingOnce(listener._sock)
    context.add_cleanup(eventlet.spawn(listener.run).kill)


@when("a peer connects to it")
def connect_peer(context: Context) -> None:
    context.peer = eventlet.connect((LOOPBACK, context.port))


@then("the peer is greeted")
def check_greeting(context: Context) -> None:
    context.peer.settimeout(TIMEOUT_S)
    assert context.peer.recv(100)


@given(
    'a table with the rows "{bad_key}", "{key}" and one that is no JSON',
)
def make_table(context: Context, bad_key: str, key: str) -> None:
    rows = [Row(bad_key, "{}", 1), Row("records/team/b", "{", 2), Row(key, "{}", 3)]
    context.inbox = RecordingInbox()
    context.poller = ConfigPoller(FixedTable(rows), context.inbox)


@when("the records are polled")
def poll_records(context: Context) -> None:
    context.poller.poll()


@then('the entry of "{name}" is put into the inbox')
def check_entry(context: Context, name: str) -> None:
    (push,) = context.inbox.messages
    assert isinstance(push, ConfigPush)
    assert [entry.name for entry in push.entries] == [name], push


def _read_store(body: bytes) -> None:
    listener = eventlet.listen((LOOPBACK, 0))

    def serve() -> None:
        sock, _ = listener.accept()
        sock.recv(65536)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        sock.sendall(head + body)
        sock.close()

    eventlet.spawn_n(serve)
    PlatformStore(f"{LOOPBACK}:{listener.getsockname()[1]}").read("servers")
