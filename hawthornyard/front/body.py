"""Read request bodies within limits on size and time."""

import json
from typing import Any, NoReturn

import eventlet

from ..errors import ErrorKind, OversizedMessageError, RequestError
from ..net import limit_body
from .exchange import Environ

MAX_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_S = 30.0
MAX_LENGTH_DIGITS = 12


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
        RequestError: If the body is malformed, late or too large.
    """
    sock = environ["wsgi.input"].get_socket()
    # Bounds what comes between the chunks of a body, too.
    limit_body(sock, max_bytes)
    try:
        with eventlet.Timeout(timeout_s):
            body = _read_bounded(environ, max_bytes)
    except OversizedMessageError:
        _refuse_large_body(max_bytes)
    except (ValueError, OSError) as exc:
        raise RequestError("the body is truncated or malformed") from exc
    except eventlet.Timeout as exc:
        raise RequestError(f"the body did not arrive within {timeout_s:g} s") from exc
    finally:
        sock.limit_bytes(None)
    if len(body) > max_bytes:
        _refuse_large_body(max_bytes)
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


def _read_bounded(environ: Environ, max_bytes: int) -> bytes:
    stream = environ["wsgi.input"]
    coding = environ.get("HTTP_TRANSFER_ENCODING", "").lower()
    if coding == "chunked":
        chunked: bytes = stream.read(max_bytes + 1)
        return chunked
    if coding:
        raise RequestError("Transfer-Encoding must be chunked")
    length = _decode_content_length(environ, max_bytes)
    body: bytes = stream.read(length)
    if len(body) < length:
        raise RequestError("the body is shorter than Content-Length")
    return body


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
