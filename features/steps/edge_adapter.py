"""Steps that send bytes through one gateway on loopback."""

from collections.abc import Callable

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.platform_world import CONFIG, KEY, READY_TIMEOUT_S

SIGNED = b"X-Hawthornyard-Request-Id: {id}\r\nX-Hawthornyard-Response-Seal: s\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def _event(number: int) -> bytes:
    return b"id: %d\ndata: words\n\n" % number


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _events(*numbers: int) -> bytes:
    return STREAM + b"".join(_chunk(_event(number)) for number in numbers)


ANSWERS = {
    "a whole answer": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Length: 4\r\n\r\nbody",
    "a whole answer and more": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "a whole answer without length": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Connection: close\r\n\r\nbody",
    "an answer that is cut": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Length: 40\r\n\r\nbody",
    "an answer to another request": b"HTTP/1.1 200 OK\r\n"
    b"X-Hawthornyard-Request-Id: other\r\nX-Hawthornyard-Response-Seal: s\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    "an answer that is not signed": b"HTTP/1.1 200 OK\r\n"
    b"X-Hawthornyard-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nbody",
    "an encoded answer": b"HTTP/1.1 200 OK\r\n"
    + SIGNED
    + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
    "a failure of its own": b"HTTP/1.1 500 Oops\r\n"
    + SIGNED
    + b"Content-Length: 4\r\n\r\nbody",
    "a refusal": b"HTTP/1.1 503 Full\r\nX-Hawthornyard-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "the refusal of another": b"HTTP/1.1 421 Misdirected Request\r\n"
    b"X-Hawthornyard-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n",
    "no HTTP": b"\x00\x01garbage\r\n\r\n",
    "nothing": b"",
    "a whole stream": _events(1, 2, 3) + END,
    "a stream that is cut": _events(1, 2, 3),
    "a stream cut within its event": _events(1, 2) + _chunk(b"id: 3\ndata: wor"),
    "a stream without its event two": _events(1, 3) + END,
    "a stream with an event twice": _events(1, 2, 2, 3) + END,
}

BADGE = b"POST /badge/9?a=1&a=2 HTTP/1.1\r\n"
HOST = b"Host: kiosk.example\r\n"
ID = b"X-Hawthornyard-Request-Id: r-1\r\n"
AUTH = b"Authorization: Bearer " + KEY.encode() + b"\r\n"
CLOSE = b"Connection: close\r\n"
BODY = b"Content-Length: 5\r\n\r\nhello"
USUAL = HOST + ID + AUTH + CLOSE

REQUESTS = {
    "two lengths": BADGE + USUAL + b"Content-Length: 5\r\n" + BODY,
    "a length and chunks": BADGE + USUAL + b"Transfer-Encoding: chunked\r\n" + BODY,
    "a length with a sign": BADGE + USUAL + b"Content-Length: +5\r\n\r\nhello",
    "a coding that is not chunked": BADGE
    + USUAL
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n"
    + _chunk(b"hello")
    + END,
    "a space before a colon": BADGE + USUAL + b"X-A : 1\r\n" + BODY,
    "a folded header": BADGE + USUAL + b"X-A: 1\r\n 2\r\n" + BODY,
    "two hosts": BADGE + USUAL + b"Host: other.example\r\n" + BODY,
    "no request id": BADGE + HOST + AUTH + CLOSE + BODY,
    "two request ids": BADGE + USUAL + ID + BODY,
    "a time that is no number": BADGE
    + USUAL
    + b"X-Hawthornyard-Deadline-Ms: soon\r\n"
    + BODY,
    "a body that is too long": BADGE + USUAL + b"Content-Length: 9999\r\n\r\nhello",
    "headers that are too long": BADGE
    + USUAL
    + b"X-A: "
    + b"a" * 3000
    + b"\r\n"
    + BODY,
    "chunks that are broken": BADGE
    + USUAL
    + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    "an unknown key": BADGE + HOST + ID + CLOSE + b"Authorization: Bearer x\r\n" + BODY,
    "no key": BADGE + HOST + ID + CLOSE + BODY,
    "a path without a route": b"POST /other/ HTTP/1.1\r\n" + USUAL + BODY,
    "another host": BADGE + b"Host: other.example\r\n" + ID + AUTH + CLOSE + BODY,
    "a badge": BADGE + USUAL + b"X-Hawthornyard-Deadline-Ms: 900\r\n" + BODY,
    "a summary": b"POST /summary/9 HTTP/1.1\r\n" + USUAL + BODY,
    "an open request without a key": b"POST /open/ HTTP/1.1\r\n"
    + HOST
    + ID
    + CLOSE
    + BODY,
    "a badge with its own system headers": BADGE
    + USUAL
    + b"X-Hawthornyard-Deadline-Ms: 900\r\nX-Hawthornyard-Tenant-Id: boss\r\n"
    b"X-Hawthornyard-Expect-Instance: i-9\r\nKv-From: 1.2.3.4:5/x\r\n"
    b"X-Hawthornyard-Kv-Backup: 1.2.3.4:5\r\nX-Hawthornyard-Kv-Hold: h\r\n"
    b"X-Hawthornyard-Pin-Ms: 100\r\nX-Hawthornyard-Request-Priority: 0\r\n"
    b"X-Mine: kept\r\n" + BODY,
    "a badge inside another with a length and chunks": BADGE
    + HOST
    + ID
    + AUTH
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + BADGE
    + USUAL
    + BODY,
}
ENTRIES = {
    "of bytes": b"\xff\x00",
    "without address": {"service": "desk", "zone": "z", "slots": 1, "state": "ready"},
    "with a host name": {"address": "desk.example:80"},
    "with slots as text": {"slots": "6"},
    "in a state nobody knows": {"state": "dancing"},
    "that is a list": b"[]",
}
WHOLE_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 6,
    "state": "ready",
}


@given("an endpoint that answers with {what} and then {end}")
def add_endpoint(context: Context, what: str, end: str) -> None:
    how = {"closes": "close", "resets": "reset"}[end]
    context.world.add_endpoint([ANSWERS[what]], how)
    context.world.wait_ready()


@given("an endpoint that takes no connection")
def add_dark_endpoint(context: Context) -> None:
    context.world.add_unreachable_endpoint()


@when("{n:d} badges are sent, each with a second to live")
def send_badges(context: Context, n: int) -> None:
    request = REQUESTS["a badge"]
    context.all_got = [context.world.send(request) for _ in range(n)]


@then("all of them get status {status:d}")
def check_all(context: Context, status: int) -> None:
    for got in context.all_got:
        assert got.startswith(b"HTTP/1.1 %d " % status), got


@given("an entry {which}")
def add_entry(context: Context, which: str) -> None:
    entry = ENTRIES[which]
    if isinstance(entry, dict) and "zone" not in entry:
        entry = {**WHOLE_ENTRY, **entry}
    context.world.store.put("servers", "i-odd", entry)
    eventlet.sleep(0)


@when("a caller of the platform sends {what}")
def send(context: Context, what: str) -> None:
    if what == "a body that is cut":
        context.got = _send_cut(context)
        return
    context.got = context.world.send(REQUESTS[what])


def _send_cut(context: Context) -> bytes:
    sock = eventlet.connect(("127.0.0.1", context.world.gateway.port))
    sock.sendall(BADGE + USUAL + b"Content-Length: 50\r\n\r\nhello")
    sock.shutdown(1)
    got: bytes = sock.recv(65536)
    sock.close()
    return got


@when("the operators' row is overwritten with bytes")
def overwrite(context: Context) -> None:
    context.world.store.put("op", "config", b"\xff")
    eventlet.sleep(0.05)


@when("a version without the badge's route is written")
def write_version(context: Context) -> None:
    routes = [item for item in CONFIG["routes"] if item["name"] != "badge"]
    context.world.store.put("op", "config", {**CONFIG, "version": 9, "routes": routes})
    _wait(lambda: context.world.gateway.state.directory.version == 9)


@when("the store forgets its history and the entry of the endpoint is removed")
def forget(context: Context) -> None:
    context.world.store.rows.pop(("servers", "i-1"))
    context.world.store.version += 1
    context.world.store.forget_history()


@when("the store is down for a second")
def lose_store(context: Context) -> None:
    context.world.store.is_down = True
    eventlet.sleep(1.0)


@then("it gets status {status:d}")
def check_status(context: Context, status: int) -> None:
    line = context.got.split(b"\r\n")[0]
    assert line.split(b" ")[1] == str(status).encode(), context.got


@then("the endpoint has got nothing")
def check_nothing(context: Context) -> None:
    assert not context.world.endpoints[0].requests, context.world.endpoints[0].requests


@then("it gets the events {first:d} to {last:d} and a stream that is {state}")
def check_stream(context: Context, first: int, last: int, state: str) -> None:
    for number in range(first, last + 1):
        assert context.got.count(_event(number)) == 1, context.got
    assert context.got.count(b"id: ") == last - first + 1, context.got
    assert context.got.endswith(END) == (state == "complete"), context.got


@then("the endpoint has got it with the caller's method, target, body and id")
def check_unchanged(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert request.startswith(BADGE), request
    assert request.endswith(b"\r\n\r\nhello"), request
    assert _values(request, b"x-hawthornyard-request-id") == [b"r-1"], request
    assert _values(request, b"x-mine") == [b"kept"], request


@then("without the key, with the team and what is left of the time")
def check_team(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert _values(request, b"authorization") == [], request
    assert _values(request, b"x-hawthornyard-tenant-id") == [b"kiosk"], request
    (left_ms,) = _values(request, b"x-hawthornyard-deadline-ms")
    assert 0 < int(left_ms) <= 900, request


@then("without the system headers of the caller")
def check_headers(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert _values(request, b"x-hawthornyard-expect-instance") == [b"i-1"], request
    assert _values(request, b"x-hawthornyard-request-priority") == [b"1"], request
    for name in (b"kv-from", b"x-hawthornyard-kv-backup", b"x-hawthornyard-kv-hold"):
        assert _values(request, name) == [], request
    assert _values(request, b"x-hawthornyard-pin-ms") == [], request


@then("{n:d} endpoints are known")
def check_known(context: Context, n: int) -> None:
    assert len(context.world.gateway.state.endpoints) == n


@then("{n:d} endpoints are offered")
def check_offered(context: Context, n: int) -> None:
    endpoints = context.world.gateway.state.endpoints
    _wait(lambda: sum(end.leaving_since is None for end in endpoints) == n)


def _wait(is_true: Callable[[], bool]) -> None:
    with eventlet.Timeout(READY_TIMEOUT_S, AssertionError("it took too long")):
        while not is_true():
            eventlet.sleep(0.01)


def _values(request: bytes, name: bytes) -> list[bytes]:
    head = request.partition(b"\r\n\r\n")[0]
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return [value.strip() for field, _, value in pairs if field.lower() == name]
