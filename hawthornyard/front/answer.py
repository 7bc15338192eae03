"""Build HTTP answers and the bodies and headers of errors."""

import http.client
import json
from collections.abc import Iterable
from typing import Any

from ..errors import ANSWERS, ErrorKind
from ..gateway.messages import ReplyFailed
from .exchange import Exchange, Headers, StartResponse

JSON_TYPE = ("Content-Type", "application/json")
TEXT_TYPE = ("Content-Type", "text/plain; charset=utf-8")


def answer_json(
    exchange: Exchange,
    start: StartResponse,
    body: dict[str, Any],
    *,
    status: int = 200,
    headers: Headers | None = None,
) -> Iterable[bytes]:
    """Answer with a JSON object."""
    data = json.dumps(body).encode()
    return answer_bytes(
        exchange, start, data, status=status, headers=[JSON_TYPE, *(headers or [])]
    )


def answer_bytes(
    exchange: Exchange,
    start: StartResponse,
    body: bytes,
    *,
    status: int = 200,
    headers: Headers,
) -> Iterable[bytes]:
    """Answer with a body of bytes; X-Request-ID is added to the headers."""
    start(status_line(status), [*headers, ("X-Request-ID", exchange.request_id)])
    return [body]


def answer_error(
    exchange: Exchange, start: StartResponse, reply: ReplyFailed
) -> Iterable[bytes]:
    """Answer with the status, headers and body of an error; see `ANSWERS`."""
    return answer_json(
        exchange,
        start,
        error_body(reply, exchange.request_id),
        status=ANSWERS[reply.kind].status,
        headers=error_headers(reply.kind),
    )


def error_body(reply: ReplyFailed, request_id: str) -> dict[str, Any]:
    """Return the JSON body of an error."""
    answer = ANSWERS[reply.kind]
    return {
        "error": {
            "type": reply.kind.value,
            "code": reply.kind.value,
            "message": answer.meaning,
            "detail": reply.detail,
            "ran": answer.ran.value,
            "retryable": answer.retryable,
            "n_delivered": reply.n_delivered,
            "request_id": request_id,
        }
    }


def error_headers(kind: ErrorKind, *, retry_after_s: float | None = None) -> Headers:
    """Return the headers by which a program recognizes an error.

    Args:
        kind: The error kind.
        retry_after_s: Seconds to wait before a retry; 0 for no Retry-After, None
            for the value in `ANSWERS`.
    """
    answer = ANSWERS[kind]
    headers = [("X-Error-Kind", kind.value), ("X-Request-Ran", answer.ran.value)]
    headers.append(("X-Should-Retry", "true" if answer.retryable else "false"))
    if retry_after_s is None:
        retry_after_s = answer.retry_after_s
    if retry_after_s:
        headers.append(("Retry-After", f"{retry_after_s:g}"))
    return headers


def status_line(status: int) -> str:
    """Return the status code with its standard reason phrase."""
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
