"""Read request bodies within limits on size and time."""

import json
import socket
import sys
from typing import Any, NoReturn

import eventlet

from ..errors import ErrorKind, OversizedMessageError, RequestError
from ..net import (
    PROCESS_TURNS,
    READ_BYTES,
    ChunkDecoder,
    ChunkError,
    FairSocket,
    Holding,
    Workload,
    limit_body,
)
from .exchange import CLOSE_CONNECTION_KEY, HOLDING_KEY, WORKLOAD_KEY, Environ

MAX_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 30.0
MAX_LENGTH_DIGITS = 12
CALL_BYTES = 80 * 1024
"""Memory that a call takes beside its messages: its state in the filters, its attempt's
connection, and their green threads. 400 streams that began at once were measured to
take 100 KiB each; calls that wait have no attempt. It is counted before the body is
read, when a call without room can still be refused as not run."""

WIRE_BYTES_PER_BODY_BYTE = 6
"""Bytes on the wire of a chunk of one byte, "1 CR LF x CR LF". A body of the largest
size may come in such chunks, as its work is bounded by turns."""

SLICE_LINES = 256
"""Lines of a chunked body's framing that are decoded before others get their turn."""

BYTES_PER_UNIT = 4096
"""Bytes of a chunked body that take as long to copy as a line of its framing to
decode."""


def read_body(
    environ: Environ,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    timeout_s: float = BODY_TIMEOUT_S,
) -> bytes:
    """Return the request body.

    Args:
        environ: WSGI environment.
        max_bytes: Largest body that is accepted.
        timeout_s: Seconds within which the whole body must arrive.

    Raises:
        RequestError: If the body is malformed, late or too large, or if all messages
            of this process together are too large.
    """
    try:
        return _read_within_time(environ, max_bytes, timeout_s)
    except RequestError:
        # The next bytes on the connection may be the rest of the refused body.
        environ[CLOSE_CONNECTION_KEY]()
        raise


def _read_within_time(environ: Environ, max_bytes: int, timeout_s: float) -> bytes:
    sock: FairSocket = environ["wsgi.input"].get_socket()
    holding: Holding = environ[HOLDING_KEY]
    workload: Workload = environ[WORKLOAD_KEY]
    on_evict = holding.on_evict

    def refuse() -> None:
        # The caller can still be sent the refusal.
        sock.abort(socket.SHUT_RD)
        PROCESS_TURNS.cancel(workload)

    holding.on_evict = refuse
    # Bounds what comes between the chunks of a body, too.
    limit_body(sock, max_bytes, wire_bytes_per_byte=WIRE_BYTES_PER_BODY_BYTE)
    try:
        holding.resize_overhead(holding.n_overhead + CALL_BYTES)
        holding.check()
        with eventlet.Timeout(timeout_s):
            body = _read_bounded(environ, holding, max_bytes)
    except OversizedMessageError as exc:
        if holding.is_evicted:
            raise RequestError(exc.detail, kind=ErrorKind.OVERLOADED) from exc
        _refuse_large_body(max_bytes)
    except ChunkError as exc:
        raise RequestError(str(exc)) from exc
    except (ValueError, OSError) as exc:
        raise RequestError("the body is truncated or malformed") from exc
    except eventlet.Timeout as exc:
        raise RequestError(f"the body did not arrive within {timeout_s:g} s") from exc
    finally:
        holding.on_evict = on_evict
        sock.limit_bytes(None)
    if len(body) > max_bytes:
        _refuse_large_body(max_bytes)
    holding.end_message()
    return body


def decode_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises:
        RequestError: If the body is not a JSON object.
    """
    try:
        value = json.loads(body, parse_constant=_refuse_json_constant)
    except (ValueError, RecursionError) as exc:
        raise RequestError(f"the body is not valid JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise RequestError("the body must be a JSON object")
    return value


def _read_bounded(environ: Environ, holding: Holding, max_bytes: int) -> bytes:
    coding = environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if coding == "chunked":
        return _read_chunked(environ, holding, max_bytes)
    if coding:
        raise RequestError("Transfer-Encoding must be chunked")
    length = _decode_content_length(environ, max_bytes)
    # The whole length counts at once, so that a body without room is not read at all.
    holding.resize(length)
    holding.check()
    body: bytes = environ["wsgi.input"].read(length)
    holding.check()
    if len(body) < length:
        raise RequestError("the body is shorter than Content-Length")
    return body


def _read_chunked(environ: Environ, holding: Holding, max_bytes: int) -> bytes:
    # The server's own reader takes sizes such as "+0" or "0_0" for the last chunk.
    stream = environ["wsgi.input"]
    if stream.should_send_hundred_continue:
        stream.send_hundred_continue_response()
        stream.is_hundred_continue_response_sent = True
    workload: Workload = environ[WORKLOAD_KEY]
    decoder = ChunkDecoder()
    body = bytearray()
    while not decoder.is_complete and len(body) <= max_bytes:
        # Bytes behind the end of the body belong to the next request.
        data = stream.rfile.peek(READ_BYTES)
        if not data:
            raise RequestError("the chunked body is cut")
        body += decoder.feed(data, SLICE_LINES)
        n_decoded = len(data) - decoder.n_excess
        stream.rfile.read(n_decoded)
        # A buffer that grows is allocated ahead of its length.
        holding.resize(sys.getsizeof(body))
        holding.check()
        _pay(workload, decoder.n_lines + n_decoded // BYTES_PER_UNIT)
        holding.check()
    # Tells the server that nothing of the body is left to read.
    stream.chunk_length = 0
    return bytes(body)


def _pay(workload: Workload, n_units: int) -> None:
    try:
        PROCESS_TURNS.pay(workload, n_units)
    except eventlet.Timeout as exc:
        detail = "the body was not decoded in time, as other requests had their turns"
        raise RequestError(detail, kind=ErrorKind.OVERLOADED) from exc


def _decode_content_length(environ: Environ, max_bytes: int) -> int:
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isascii() or not text.isdigit():
        raise RequestError("Content-Length must be a non-negative integer")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_bytes:
        _refuse_large_body(max_bytes)
    return int(text)


def _refuse_large_body(max_bytes: int) -> NoReturn:
    detail = f"the body is larger than {max_bytes} bytes"
    raise RequestError(detail, kind=ErrorKind.BODY_TOO_LARGE)


def _refuse_json_constant(text: str) -> NoReturn:
    raise ValueError(f"{text} is not a JSON number")
