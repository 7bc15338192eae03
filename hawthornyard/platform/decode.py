"""Decode callers' HTTP requests."""

import hashlib
import re

from ..edge.messages import Call, GenerationSize
from ..errors import ErrorKind, RequestError
from ..front.exchange import Exchange
from .names import (
    EXPECTED_OUTPUT_HEADER,
    MODEL_HEADER,
    PROMPT_PREFIX_HEADER,
    REQUEST_HEADERS_NOT_FORWARDED,
    REQUEST_ID_HEADER,
    TIMEOUT_MS_HEADER,
    TOKEN_COUNTS_HEADER,
)

MAX_PROMPT_PARTS = 32
"""Parts of a prompt that are looked at, counted from its end."""

MAX_PART_ID_LENGTH = 64
"""Length up to which the id of a part is kept as it is; a longer one is hashed, as ids
are held in memory and sent to other gateways."""

_INTEGER = re.compile(r"[0-9]{1,9}")
_REQUEST_ID = re.compile(r"[!-~]{1,200}")
_PORT_SUFFIX = re.compile(r":[0-9]{1,5}$")


def decode_request_id(exchange: Exchange) -> str:
    """Return the caller's request id.

    Raises:
        RequestError: If the header is missing, repeated or malformed.
    """
    values = _header_values(exchange, REQUEST_ID_HEADER)
    if len(values) != 1 or not _REQUEST_ID.fullmatch(values[0]):
        raise RequestError(
            f"{REQUEST_ID_HEADER} must be sent once, "
            "as 1 to 200 visible ASCII characters"
        )
    return values[0]


def decode_call(exchange: Exchange) -> Call:
    """Return the call of an exchange whose body has been read.

    Raises:
        RequestError: If a header is malformed.
    """
    target = exchange.raw_path
    if "QUERY_STRING" in exchange.environ:
        target += "?" + exchange.query
    return Call(
        exchange.call_id,
        exchange.request_id,
        _PORT_SUFFIX.sub("", exchange.header("Host")).lower(),
        exchange.raw_path,
        method=exchange.method,
        target=target,
        headers=_forwarded_headers(exchange),
        body=exchange.body,
        key=_bearer_key(exchange),
        timeout_s=_timeout_s(exchange),
        size=_generation_size(exchange),
    )


def _header_values(exchange: Exchange, name: str) -> list[str]:
    wanted = name.lower()
    raw = exchange.environ["headers_raw"]
    return [value for header, value in raw if header.lower() == wanted]


def _forwarded_headers(exchange: Exchange) -> list[tuple[str, str]]:
    dropped = set(REQUEST_HEADERS_NOT_FORWARDED)
    for value in _header_values(exchange, "Connection"):
        # X- headers select what an endpoint runs, so naming one in Connection must
        # not remove it.
        named = {item.strip().lower() for item in value.split(",")}
        dropped |= {name for name in named if not name.startswith("x-")}
    raw = exchange.environ["headers_raw"]
    return [(name, value) for name, value in raw if name.lower() not in dropped]


def _bearer_key(exchange: Exchange) -> str:
    scheme, _, key = exchange.header("Authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _timeout_s(exchange: Exchange) -> float | None:
    text = exchange.header(TIMEOUT_MS_HEADER)
    if not text:
        return None
    if not _INTEGER.fullmatch(text):
        raise RequestError(
            f"{TIMEOUT_MS_HEADER} must be 1 to 9 digits, in milliseconds",
            kind=ErrorKind.BAD_DEADLINE,
        )
    return int(text) / 1000


def _generation_size(exchange: Exchange) -> GenerationSize | None:
    text = exchange.header(TOKEN_COUNTS_HEADER)
    if not text:
        return None
    parts = [part.strip() for part in text.split(",")]
    if len(parts) != 2 or not all(_INTEGER.fullmatch(part) for part in parts):
        raise RequestError(
            f"{TOKEN_COUNTS_HEADER} must be two numbers of 1 to 9 digits: "
            "prompt tokens,maximum output tokens"
        )
    hint = exchange.header(EXPECTED_OUTPUT_HEADER)
    return GenerationSize(
        exchange.header(MODEL_HEADER),
        int(parts[0]),
        int(parts[1]),
        expected_tokens=int(hint) if _INTEGER.fullmatch(hint) else None,
        prefix=_prompt_prefix(exchange),
    )


def _prompt_prefix(exchange: Exchange) -> list[str]:
    parts = exchange.header(PROMPT_PREFIX_HEADER).split(",")
    return [_part_id(part) for part in parts if part.strip()][-MAX_PROMPT_PARTS:]


def _part_id(part: str) -> str:
    name = part.partition(":")[0].strip()
    if len(name) <= MAX_PART_ID_LENGTH:
        return name
    return hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
