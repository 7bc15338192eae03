"""Steps that send invalid requests to a gateway."""

import json
import socket
from collections.abc import Callable
from typing import Any

from behave import then, when
from behave.runner import Context

from features.support.fakes import RawCaller

COMPLETIONS = "/v1/completions"


def _with(**fields: Any) -> bytes:
    body = {"model": "scribe", "prompt": "x", "max_tokens": 2, **fields}
    return json.dumps(body).encode()


_BODIES: dict[str, bytes] = {
    "no body": b"",
    "a list": b"[1]",
    "NaN": _with(temperature=float("nan")),
    "an infinite temperature": _with().replace(b'"x"', b'"x", "temperature": 1e999'),
    "a negative temperature": _with(temperature=-1),
    "an integer of 5000 digits": _with().replace(b": 2", b": " + b"9" * 5000),
    "deep nesting": b'{"model":' + b"[" * 100_000,
    "invalid UTF-8": _with(prompt="Z").replace(b"Z", b"\xff\xfe\xfd"),
    "a lone surrogate": _with(prompt="\ud800"),
    "a model of a surrogate": _with(model="\udfff"),
    "a model that is no string": _with(model=7),
    "max_tokens of 0": _with(max_tokens=0),
    "max_tokens of -1": _with(max_tokens=-1),
    "max_tokens of true": _with(max_tokens=True),
    "max_tokens of 10 to 18": _with(max_tokens=10**18),
    "max_tokens of 1.5": _with(max_tokens=1.5),
    "two choices": _with(n=2),
    "a stop sequence": _with(stop=["."]),
    "a megabyte": _with(prompt="x" * (1 << 20)),
}


@when("the kiosk posts a completion with the header {name} of {value}")
def post_header(context: Context, name: str, value: str) -> None:
    value = "k" * 201 if value == "201 characters" else value
    context.answer = context.client.send(
        "POST", COMPLETIONS, _with(), headers={name: value}
    )


@when("the kiosk posts a completion with {body}")
def post_body(context: Context, body: str) -> None:
    context.answer = context.client.send("POST", COMPLETIONS, _BODIES[body])


@when("the kiosk posts a chat with messages {messages}")
def post_chat(context: Context, messages: str) -> None:
    body = {"model": "scribe", "messages": json.loads(messages)}
    context.answer = context.client.request("POST", "/v1/chat/completions", body)


@when("the kiosk sends {method} to {path}")
def send_to(context: Context, method: str, path: str) -> None:
    # An HTTP library would normalize the path before sending it.
    caller = RawCaller(context.deployment.gateways[0].port)
    key = context.deployment.key
    caller.send(_raw(f"{method} {path} HTTP/1.1", f"Authorization: Bearer {key}"))
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


def _raw(line: str, *headers: str, body: bytes = b"") -> bytes:
    lines = [line, "Host: gateway", "Connection: close", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def _post(*headers: str, body: bytes = b"") -> bytes:
    return _raw(f"POST {COMPLETIONS} HTTP/1.1", *headers, body=body)


def _chunks(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


_CHUNKED = "Transfer-Encoding: chunked"
_LINES = [f"X-Filler-{index}: {'y' * 1000}" for index in range(100)]
_BYTES: dict[str, Callable[[], bytes]] = {
    "a body shorter than its length": lambda: _post("Content-Length: 9", body=b"{}"),
    "a length that is no number": lambda: _post("Content-Length: ten"),
    "a negative length": lambda: _post("Content-Length: -1"),
    "a length of 30 digits": lambda: _post("Content-Length: " + "9" * 30),
    "length and chunks together": lambda: _post("Content-Length: 1", _CHUNKED),
    "a chunk with no size": lambda: _post(_CHUNKED, body=b"zz\r\n{}\r\n0\r\n\r\n"),
    "chunks that end early": lambda: _post(_CHUNKED, body=b"10\r\n{}"),
    "chunks of two megabytes": lambda: _post(
        _CHUNKED, body=_chunks(*[b"x" * 65536] * 32) + b"0\r\n\r\n"
    ),
    "an unknown transfer coding": lambda: _post("Transfer-Encoding: gzip"),
    "a header line of 10 kB": lambda: _post("X-Long: " + "y" * 10_000),
    "headers of 100 kB": lambda: _post(*_LINES),
    "a request line of 10 kB": lambda: _raw(f"GET /{'y' * 10_000} HTTP/1.1"),
    "no HTTP at all": lambda: b"\x16\x03\x01\x02\x00\r\n\r\n",
}


@when("a raw caller writes a body in three chunks")
def write_chunks(context: Context) -> None:
    data = _with()
    body = _chunks(data[:5], data[5:9], data[9:]) + b"0\r\n\r\n"
    key = f"Authorization: Bearer {context.deployment.key}"
    _write(context, _post(_CHUNKED, key, body=body))


@when("a raw caller sends {name}")
def write_bytes(context: Context, name: str) -> None:
    _write(context, _BYTES[name](), ends=True)


def _write(context: Context, data: bytes, *, ends: bool = False) -> None:
    caller = RawCaller(context.deployment.gateways[0].port)
    try:
        caller.send(data)
        if ends:
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
