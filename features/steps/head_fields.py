"""Steps on heads with lines that are valid fields or not."""

from behave import given, then, when
from behave.runner import Context

from features.steps.status_lines import start_server
from features.support.platform_bytes import (
    BADGE_REQUEST_LINE,
    BODY,
    SIGNATURE_HEADERS,
    VALID_HEADERS,
)


def _decode(text: str) -> bytes:
    return text.encode().decode("unicode_escape").encode("iso-8859-1")


@given('a server whose head has the line "{line}" behind its signature')
def start_spoiled_server(context: Context, line: str) -> None:
    start_server(context, "HTTP/1.1 200 OK")
    context.field = _decode(line) + b"\r\n"


@given('an endpoint whose answer has the line "{line}" in its head')
def add_endpoint(context: Context, line: str) -> None:
    head = b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS + _decode(line) + b"\r\n"
    context.world.add_endpoint([head + b"Content-Length: 4\r\n\r\nbody"])
    context.world.wait_ready()


@when('a caller sends a badge whose head has the line "{line}"')
def send_badge(context: Context, line: str) -> None:
    head = BADGE_REQUEST_LINE + VALID_HEADERS + _decode(line) + b"\r\n"
    context.response = context.world.send(head + BODY)


@then("the endpoint has got {n:d} requests")
def check_n_requests(context: Context, n: int) -> None:
    requests = context.world.endpoints[0].requests
    assert len(requests) == n, requests


@then('the endpoint and the caller have got the field "{field}"')
def check_field(context: Context, field: str) -> None:
    name, _, value = _decode(field).partition(b":")
    line = (name.lower(), value.strip(b" "))
    for head in (context.world.endpoints[0].requests[0], context.response):
        lines = head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        fields = [
            (key.lower(), text.strip(b" ")) for key, _, text in map(_split, lines)
        ]
        assert line in fields, fields


def _split(line: bytes) -> tuple[bytes, bytes, bytes]:
    return line.partition(b":")
