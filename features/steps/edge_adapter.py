"""Steps that send raw bytes through one gateway over loopback sockets."""

from collections.abc import Callable

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.platform_bytes import (
    AUTH,
    BADGE,
    BADGE_REQUEST_LINE,
    BODY,
    CLOSE,
    HOST,
    LAST_CHUNK,
    REQUEST_ID,
    SIGNATURE_HEADERS,
    SUMMARY,
    VALID_HEADERS,
    chunk,
    event,
    stream_of,
)
from features.support.platform_world import CONFIG, READY_TIMEOUT_S

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS + b"Transfer-Encoding: chunked\r\n\r\n"
)
UNDELIMITED_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS + b"Connection: close\r\n"
    b"Content-Type: text/event-stream\r\n\r\n"
)
ANSWERS = {
    "a whole answer": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: 4\r\n\r\nbody",
    "a whole answer and more": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "a whole answer without length": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Connection: close\r\n\r\nbody",
    "an answer that is cut": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: 40\r\n\r\nbody",
    "a whole answer in chunks": CHUNKED_HEAD + chunk(b"body") + LAST_CHUNK,
    "a chunked answer that is cut": CHUNKED_HEAD + chunk(b"body"),
    "a chunk that is cut": CHUNKED_HEAD + b"ff\r\nbody",
    "chunks without the last one": CHUNKED_HEAD + chunk(b"body") + chunk(b"more"),
    "a head that is cut": b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS,
    "an answer to another request": b"HTTP/1.1 200 OK\r\n"
    b"X-Hawthornyard-Request-Id: other\r\nX-Hawthornyard-Response-Seal: s\r\n"
    b"Content-Length: 4\r\n\r\nbody",
    "an answer that is not signed": b"HTTP/1.1 200 OK\r\n"
    b"X-Hawthornyard-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nbody",
    "an encoded answer": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
    "a length that is no number": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: four\r\n\r\nbody",
    "a negative length": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: -1\r\n\r\nbody",
    "two lengths": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody",
    "a coding beside the chunks": b"HTTP/1.1 200 OK\r\n"
    + SIGNATURE_HEADERS
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n"
    + chunk(b"body")
    + LAST_CHUNK,
    "a failure of its own": b"HTTP/1.1 500 Oops\r\n"
    + SIGNATURE_HEADERS
    + b"Content-Length: 4\r\n\r\nbody",
    "a refusal": b"HTTP/1.1 503 Full\r\nX-Hawthornyard-Request-Id: {id}\r\n"
    b"X-Hawthornyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "a refusal without id": b"HTTP/1.1 503 Full\r\n"
    b"X-Hawthornyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "the refusal of another request": b"HTTP/1.1 503 Full\r\n"
    b"X-Hawthornyard-Request-Id: other\r\nX-Hawthornyard-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "the refusal of another": b"HTTP/1.1 421 Misdirected Request\r\n"
    b"X-Hawthornyard-Instance-Id: i-other\r\n"
    b"X-Hawthornyard-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n",
    "the refusal of another without id": b"HTTP/1.1 421 Misdirected Request\r\n"
    b"X-Hawthornyard-Instance-Id: i-other\r\nContent-Length: 0\r\n\r\n",
    "a status of 000": b"HTTP/1.1 000\r\n" + SIGNATURE_HEADERS + b"\r\nbody",
    "a status of 600": b"HTTP/1.1 600 Odd\r\n" + SIGNATURE_HEADERS + b"\r\nbody",
    "a refusal of status 600": b"HTTP/1.1 600 Odd\r\n"
    + SIGNATURE_HEADERS
    + b"X-Hawthornyard-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "no HTTP": b"\x00\x01garbage\r\n\r\n",
    "nothing": b"",
    "the head of a stream": stream_of(),
    "the head of a stream without length": UNDELIMITED_HEAD,
    "a stream without length": UNDELIMITED_HEAD + event(1) + event(2),
    "a stream without length cut within its event": UNDELIMITED_HEAD
    + event(1)
    + b"id: 2\ndata: wor",
    "a whole stream": stream_of(1, 2, 3) + LAST_CHUNK,
    "a stream that is cut": stream_of(1, 2, 3),
    "a stream cut within its event": stream_of(1, 2) + chunk(b"id: 3\ndata: wor"),
    "a stream without its event two": stream_of(1, 3) + LAST_CHUNK,
    "a stream with an event twice": stream_of(1, 2, 2, 3) + LAST_CHUNK,
}

REQUESTS = {
    "two lengths": BADGE_REQUEST_LINE + VALID_HEADERS + b"Content-Length: 5\r\n" + BODY,
    "a length and chunks": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"Transfer-Encoding: chunked\r\n"
    + BODY,
    "a length with a sign": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"Content-Length: +5\r\n\r\nhello",
    "a coding that is not chunked": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"Transfer-Encoding: gzip, chunked\r\n\r\n"
    + chunk(b"hello")
    + LAST_CHUNK,
    "a space before a colon": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"X-A : 1\r\n"
    + BODY,
    "a folded header": BADGE_REQUEST_LINE + VALID_HEADERS + b"X-A: 1\r\n 2\r\n" + BODY,
    "two hosts": BADGE_REQUEST_LINE + VALID_HEADERS + b"Host: other.example\r\n" + BODY,
    "no request id": BADGE_REQUEST_LINE + HOST + AUTH + CLOSE + BODY,
    "two request ids": BADGE_REQUEST_LINE + VALID_HEADERS + REQUEST_ID + BODY,
    "a time that is no number": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"X-Hawthornyard-Deadline-Ms: soon\r\n"
    + BODY,
    "a body that is too long": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"Content-Length: 9999\r\n\r\nhello",
    "headers that are too long": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"X-A: "
    + b"a" * 3000
    + b"\r\n"
    + BODY,
    "chunks that are broken": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
    "an unknown key": BADGE_REQUEST_LINE
    + HOST
    + REQUEST_ID
    + CLOSE
    + b"Authorization: Bearer x\r\n"
    + BODY,
    "no key": BADGE_REQUEST_LINE + HOST + REQUEST_ID + CLOSE + BODY,
    "a path without a route": b"POST /other/ HTTP/1.1\r\n" + VALID_HEADERS + BODY,
    "another host": BADGE_REQUEST_LINE
    + b"Host: other.example\r\n"
    + REQUEST_ID
    + AUTH
    + CLOSE
    + BODY,
    "a badge": BADGE,
    "a summary": SUMMARY,
    "an open request without a key": b"POST /open/ HTTP/1.1\r\n"
    + HOST
    + REQUEST_ID
    + CLOSE
    + BODY,
    "a badge with its own system headers": BADGE_REQUEST_LINE
    + VALID_HEADERS
    + b"X-Hawthornyard-Deadline-Ms: 900\r\nX-Hawthornyard-Tenant-Id: boss\r\n"
    b"X-Hawthornyard-Expect-Instance: i-9\r\nKv-From: 1.2.3.4:5/x\r\n"
    b"X-Hawthornyard-Kv-Backup: 1.2.3.4:5\r\nX-Hawthornyard-Kv-Hold: h\r\n"
    b"X-Hawthornyard-Pin-Ms: 100\r\nX-Hawthornyard-Request-Priority: 0\r\n"
    b"X-Mine: kept\r\n" + BODY,
    "a badge inside another with a length and chunks": BADGE_REQUEST_LINE
    + HOST
    + REQUEST_ID
    + AUTH
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + BADGE_REQUEST_LINE
    + VALID_HEADERS
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
VALID_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z",
    "slots": 6,
    "state": "ready",
}


@given("an endpoint that answers with {name} and then {end}")
def add_endpoint(context: Context, name: str, end: str) -> None:
    ending = {"closes": "close", "resets": "reset"}[end]
    context.world.add_endpoint([ANSWERS[name]], ending)
    context.world.wait_ready()


@given("an endpoint that accepts no connection")
def add_unresponsive_endpoint(context: Context) -> None:
    context.world.add_unreachable_endpoint()


@when("{n:d} badges are sent, each with a timeout of under a second")
def send_badges(context: Context, n: int) -> None:
    request = REQUESTS["a badge"]
    context.responses = [context.world.send(request) for _ in range(n)]


@then("all of them get status {status:d}")
def check_all_statuses(context: Context, status: int) -> None:
    for response in context.responses:
        assert response.startswith(b"HTTP/1.1 %d " % status), response


@given("an entry {name}")
def add_entry(context: Context, name: str) -> None:
    entry = ENTRIES[name]
    if isinstance(entry, dict) and "zone" not in entry:
        entry = {**VALID_ENTRY, **entry}
    context.world.store.put("servers", "i-odd", entry)
    eventlet.sleep(0)


@when("a caller of the platform sends {name}")
def send_request(context: Context, name: str) -> None:
    if name == "a body that is cut":
        context.response = _send_truncated_body(context)
        return
    context.response = context.world.send(REQUESTS[name])


def _send_truncated_body(context: Context) -> bytes:
    sock = eventlet.connect(("127.0.0.1", context.world.gateway.port))
    sock.sendall(
        BADGE_REQUEST_LINE + VALID_HEADERS + b"Content-Length: 50\r\n\r\nhello"
    )
    sock.shutdown(1)
    response: bytes = sock.recv(65536)
    sock.close()
    return response


@when("the row of the deployment is overwritten with invalid bytes")
def overwrite_deployment(context: Context) -> None:
    context.world.store.put("op", "config", b"\xff")
    eventlet.sleep(0.05)


@when("a version without the badge's route is written")
def write_version(context: Context) -> None:
    routes = [item for item in CONFIG["routes"] if item["name"] != "badge"]
    context.world.store.put("op", "config", {**CONFIG, "version": 9, "routes": routes})
    _wait_until(lambda: context.world.gateway.state.directory.version == 9)


@when("the store forgets its history and the entry of the endpoint is removed")
def forget_history(context: Context) -> None:
    context.world.store.rows.pop(("servers", "i-1"))
    context.world.store.version += 1
    context.world.store.forget_history()


@when("the entry of the endpoint is overwritten with invalid bytes")
def overwrite_entry(context: Context) -> None:
    context.world.wait_ready()
    context.world.store.put("servers", "i-1", b"\xff")


@when("the entry of the endpoint is readable again")
def restore_entry(context: Context) -> None:
    context.world.add_entry("i-1", context.world.endpoints[0].address)


@given("the store is silent and the gateway starts again")
def restart_in_silence(context: Context) -> None:
    context.world.add_endpoint([ANSWERS["a whole answer"]], "close")
    context.world.wait_ready()
    context.world.store.is_down = True
    context.world.restart_gateway()
    eventlet.sleep(0.3)


@then("the gateway is not ready")
def check_not_ready(context: Context) -> None:
    assert not context.world.gateway.is_ready()


@when("the store has been down for a second")
def lose_store(context: Context) -> None:
    context.world.store.is_down = True
    eventlet.sleep(1.0)


@then("it gets status {status:d}")
def check_status(context: Context, status: int) -> None:
    line = context.response.split(b"\r\n")[0]
    assert line.split(b" ")[1] == str(status).encode(), context.response


@then("the endpoint gets no request")
def check_nothing(context: Context) -> None:
    assert not context.world.endpoints[0].requests, context.world.endpoints[0].requests


@then("it gets the events {first:d} to {last:d} and a stream that is {state}")
def check_stream(context: Context, first: int, last: int, state: str) -> None:
    for number in range(first, last + 1):
        assert context.response.count(event(number)) == 1, context.response
    assert context.response.count(b"id: ") == last - first + 1, context.response
    assert context.response.endswith(LAST_CHUNK) == (state == "complete"), (
        context.response
    )


@then("the endpoint gets the caller's method, target, body and request id")
def check_passed_unchanged(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert request.startswith(BADGE_REQUEST_LINE), request
    assert request.endswith(b"\r\n\r\nhello"), request
    assert _header_values(request, b"x-hawthornyard-request-id") == [b"r-1"], request
    assert _header_values(request, b"x-mine") == [b"kept"], request


@then("it gets the team and the remaining time, but not the key")
def check_team(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert _header_values(request, b"authorization") == [], request
    assert _header_values(request, b"x-hawthornyard-tenant-id") == [b"kiosk"], request
    (left_ms,) = _header_values(request, b"x-hawthornyard-deadline-ms")
    assert 0 < int(left_ms) <= 900, request


@then("it gets none of the caller's system headers")
def check_headers(context: Context) -> None:
    (request,) = context.world.endpoints[0].requests
    assert _header_values(request, b"x-hawthornyard-expect-instance") == [b"i-1"], (
        request
    )
    assert _header_values(request, b"x-hawthornyard-request-priority") == [b"1"], (
        request
    )
    for name in (b"kv-from", b"x-hawthornyard-kv-backup", b"x-hawthornyard-kv-hold"):
        assert _header_values(request, name) == [], request
    assert _header_values(request, b"x-hawthornyard-pin-ms") == [], request


@then("the error is {kind}")
def check_error_kind(context: Context, kind: str) -> None:
    _, _, body = context.response.partition(b"\r\n\r\n")
    assert kind.encode() in body, context.response


@then("{n:d} endpoints are known")
def check_known(context: Context, n: int) -> None:
    assert len(context.world.gateway.state.endpoints) == n


@then("{n:d} endpoints remain in use")
def check_offered(context: Context, n: int) -> None:
    endpoints = context.world.gateway.state.endpoints
    _wait_until(
        lambda: sum(endpoint.leaving_since is None for endpoint in endpoints) == n
    )


def _wait_until(condition: Callable[[], bool]) -> None:
    with eventlet.Timeout(READY_TIMEOUT_S, AssertionError("it took too long")):
        while not condition():
            eventlet.sleep(0.01)


def _header_values(request: bytes, name: bytes) -> list[bytes]:
    head = request.partition(b"\r\n\r\n")[0]
    pairs = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    return [value.strip() for field, _, value in pairs if field.lower() == name]
