"""Steps that send invalid requests to a gateway."""

import json
import socket
from collections.abc import Callable
from typing import Any

from behave import then, when
from behave.runner import Context

from features.support.fakes import RawCaller

COMPLETIONS = "/v1/completions"


def _completion_body(**fields: Any) -> bytes:
    body = {"model": "scribe", "prompt": "x", "max_tokens": 2, **fields}
    return json.dumps(body).encode()


_BODIES: dict[str, bytes] = {
    "no body": b"",
    "a list": b"[1]",
    "NaN": _completion_body(temperature=float("nan")),
    "an infinite temperature": _completion_body().replace(
        b'"x"', b'"x", "temperature": 1e999'
    ),
    "a negative temperature": _completion_body(temperature=-1),
    "an integer of 5000 digits": _completion_body().replace(
        b": 2", b": " + b"9" * 5000
    ),
    "deep nesting": b'{"model":' + b"[" * 100_000,
    "invalid UTF-8": _completion_body(prompt="Z").replace(b"Z", b"\xff\xfe\xfd"),
    "a lone surrogate": _completion_body(prompt="\ud800"),
    "a model of a surrogate": _completion_body(model="\udfff"),
    "a model that is no string": _completion_body(model=7),
    "max_tokens of 0": _completion_body(max_tokens=0),
    "max_tokens of -1": _completion_body(max_tokens=-1),
    "max_tokens of true": _completion_body(max_tokens=True),
    "max_tokens of 10 to 18": _completion_body(max_tokens=10**18),
    "max_tokens of 1.5": _completion_body(max_tokens=1.5),
    "two choices": _completion_body(n=2),
    "a stop sequence": _completion_body(stop=["."]),
    "a megabyte": _completion_body(prompt="x" * (1 << 20)),
}


@when("the kiosk posts a completion with the header {name} set to {value}")
def post_with_header(context: Context, name: str, value: str) -> None:
    value = "k" * 201 if value == "201 characters" else value
    context.answer = context.client.send(
        "POST", COMPLETIONS, _completion_body(), headers={name: value}
    )


@when("the kiosk posts a completion with {body}")
def post_body(context: Context, body: str) -> None:
    context.answer = context.client.send("POST", COMPLETIONS, _BODIES[body])


@when("the kiosk posts a chat with messages {messages}")
def post_chat(context: Context, messages: str) -> None:
    body = {"model": "scribe", "messages": json.loads(messages)}
    context.answer = context.client.request("POST", "/v1/chat/completions", body)


@when("the kiosk sends {method} to {path}")
def send_raw_path(context: Context, method: str, path: str) -> None:
    # An HTTP library would normalize the path before sending it.
    caller = RawCaller(context.deployment.gateways[0].port)
    key = context.deployment.key
    caller.send(
        _raw_request(f"{method} {path} HTTP/1.1", f"Authorization: Bearer {key}")
    )
    context.raw = caller.read_until(b"never")
    caller.close()


@then("it is refused as {kind} with status {status:d}")
def check_refused(context: Context, kind: str, status: int) -> None:
    if "answer" not in context:
        head, _, body = context.raw.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode()), head
        assert f"X-Error-Kind: {kind}".encode() in head, head
        assert json.loads(body)["error"]["code"] == kind
        return
    answer = context.answer
    assert answer.status == status, answer.data
    assert answer.json()["error"]["code"] == kind, answer.data
    assert answer.headers["X-Request-Ran"] == "no"
    assert answer.headers["X-Request-ID"] == answer.json()["error"]["request_id"]


@then("the deployment still serves")
def check_still_serves(context: Context) -> None:
    for client in (context.client, context.other_client):
        assert client.complete("Still there?", max_tokens=2).status == 200


def _raw_request(line: str, *headers: str, body: bytes = b"") -> bytes:
    lines = [line, "Host: gateway", "Connection: close", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def _raw_post(*headers: str, body: bytes = b"") -> bytes:
    return _raw_request(f"POST {COMPLETIONS} HTTP/1.1", *headers, body=body)


def _encode_chunks(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


_CHUNKED = "Transfer-Encoding: chunked"
_FILLER_HEADERS = [f"X-Filler-{index}: {'y' * 1000}" for index in range(100)]
_MALFORMED_REQUESTS: dict[str, Callable[[], bytes]] = {
    "a body shorter than its length": lambda: _raw_post(
        "Content-Length: 9", body=b"{}"
    ),
    "a length that is no number": lambda: _raw_post("Content-Length: ten"),
    "a negative length": lambda: _raw_post("Content-Length: -1"),
    "a length of 30 digits": lambda: _raw_post("Content-Length: " + "9" * 30),
    "length and chunks together": lambda: _raw_post("Content-Length: 1", _CHUNKED),
    "a chunk with no size": lambda: _raw_post(_CHUNKED, body=b"zz\r\n{}\r\n0\r\n\r\n"),
    "chunks that end early": lambda: _raw_post(_CHUNKED, body=b"10\r\n{}"),
    "chunks of two megabytes": lambda: _raw_post(
        _CHUNKED, body=_encode_chunks(*[b"x" * 65536] * 32) + b"0\r\n\r\n"
    ),
    "an unknown transfer coding": lambda: _raw_post("Transfer-Encoding: gzip"),
    "a header line of 10 kB": lambda: _raw_post("X-Long: " + "y" * 10_000),
    "headers of 100 kB": lambda: _raw_post(*_FILLER_HEADERS),
    "a request line of 10 kB": lambda: _raw_request(f"GET /{'y' * 10_000} HTTP/1.1"),
    "no HTTP at all": lambda: b"\x16\x03\x01\x02\x00\r\n\r\n",
}


@when("a raw caller writes a body in three chunks")
def write_chunks(context: Context) -> None:
    data = _completion_body()
    body = _encode_chunks(data[:5], data[5:9], data[9:]) + b"0\r\n\r\n"
    key = f"Authorization: Bearer {context.deployment.key}"
    _exchange_bytes(context, _raw_post(_CHUNKED, key, body=body))


@when("a raw caller sends {name}")
def send_malformed(context: Context, name: str) -> None:
    _exchange_bytes(context, _MALFORMED_REQUESTS[name](), closes_writing=True)


def _exchange_bytes(
    context: Context, data: bytes, *, closes_writing: bool = False
) -> None:
    caller = RawCaller(context.deployment.gateways[0].port)
    try:
        caller.send(data)
        if closes_writing:
            caller.sock.shutdown(socket.SHUT_WR)
    except OSError:
        # The gateway may answer and close the connection before it has read all.
        pass
    context.raw = caller.read_until(b"never")
    caller.close()


@then("the gateway answers with status {status:d}")
def check_status(context: Context, status: int) -> None:
    first_line = context.raw.partition(b"\r\n")[0]
    assert f" {status} ".encode() in first_line, context.raw[:500]
