"""Decode the request headers that apply to every call."""

import hashlib

from ..errors import ErrorKind, RequestError
from ..frames import Work
from ..gateway.messages import Call, Reconnect
from .exchange import Exchange

MAX_KEY_CHARS = 200
MAX_TIMEOUT_S = 3600.0
MAX_EVENT_ID_CHARS = 200
MAX_OFFSET_DIGITS = 9


def decode_call(exchange: Exchange, service: str, work: Work) -> Call:
    """Return the call of an exchange.

    Args:
        exchange: The exchange.
        service: Service name, empty to choose the service by the work's model.
        work: The generation or the call to a plain service.

    Raises:
        RequestError: If a header is malformed.
    """
    return Call(
        exchange.call_id,
        exchange.request_id,
        decode_bearer(exchange),
        service,
        work,
        key=_decode_idempotency_key(exchange),
        digest=_digest_request(exchange),
        timeout_s=_decode_timeout_s(exchange),
    )


def decode_reconnect(exchange: Exchange) -> Reconnect | None:
    """Return the reconnection that Last-Event-ID asks for, None without the header.

    Raises:
        RequestError: If the header is malformed.
    """
    event_id = exchange.header("Last-Event-ID")
    if not event_id:
        return None
    endpoint, attempt_id, offset = _decode_event_id(event_id)
    return Reconnect(
        exchange.call_id,
        exchange.request_id,
        decode_bearer(exchange),
        endpoint,
        attempt_id,
        offset,
        timeout_s=_decode_timeout_s(exchange),
    )


def decode_bearer(exchange: Exchange) -> str:
    """Return the bearer token, which is the team key; empty if none was sent."""
    scheme, _, key = exchange.header("Authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _decode_event_id(event_id: str) -> tuple[str, str, int]:
    parts = event_id.split(":")
    if len(event_id) > MAX_EVENT_ID_CHARS or len(parts) != 3 or not all(parts):
        raise RequestError("Last-Event-ID must have the form endpoint:attempt:offset")
    endpoint, attempt_id, digits = parts
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_OFFSET_DIGITS:
        raise RequestError("the offset in Last-Event-ID must be a non-negative integer")
    return endpoint, attempt_id, int(digits)


def _decode_idempotency_key(exchange: Exchange) -> str:
    key = exchange.header("Idempotency-Key")
    if len(key) > MAX_KEY_CHARS:
        raise RequestError(f"Idempotency-Key is longer than {MAX_KEY_CHARS} characters")
    if not key.isascii() or not key.isprintable() or "/" in key:
        raise RequestError("Idempotency-Key must be printable ASCII without a slash")
    return key


def _digest_request(exchange: Exchange) -> str:
    parts = (exchange.method, exchange.raw_path, exchange.query)
    digest = hashlib.sha256()
    for part in parts:
        digest.update(part.encode() + b"\0")
    digest.update(exchange.body)
    return digest.hexdigest()


def _decode_timeout_s(exchange: Exchange) -> float | None:
    text = exchange.header("X-Request-Timeout")
    if not text:
        return None
    try:
        timeout_s = float(text)
    except ValueError as exc:
        raise RequestError(
            "X-Request-Timeout must be a number of seconds", kind=ErrorKind.BAD_DEADLINE
        ) from exc
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise RequestError(
            f"X-Request-Timeout must be above 0 and at most {MAX_TIMEOUT_S:g} seconds",
            kind=ErrorKind.BAD_DEADLINE,
        )
    return timeout_s
