"""Decode request bodies and paths into the work that they ask for."""

import urllib.parse
from typing import Any

from ..errors import RequestError
from ..frames import Generation, ServiceCall
from .exchange import Exchange

DEFAULT_MAX_TOKENS = 512
MAX_OUTPUT_TOKENS = 131_072
MAX_TEMPERATURE = 2.0
MAX_MODEL_CHARS = 200

SERVICE_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
# End-to-end request headers that are forwarded to plain services. The team key
# (Authorization) and the caller's cookies are not.
FORWARDED_HEADERS = (
    "Accept",
    "Accept-Language",
    "If-Match",
    "If-Modified-Since",
    "If-None-Match",
    "If-Unmodified-Since",
    "Range",
)

_UNSET_VALUES: tuple[Any, ...] = (None, False, "", [], {})
# Unsupported options, each with the values that leave the answer as it is; a request
# with any other value is refused.
_VALUES_WITHOUT_EFFECT: dict[str, tuple[Any, ...]] = {
    "best_of": (*_UNSET_VALUES, 1),
    "echo": _UNSET_VALUES,
    "functions": _UNSET_VALUES,
    "logprobs": _UNSET_VALUES,
    "n": (*_UNSET_VALUES, 1),
    "response_format": (*_UNSET_VALUES, {"type": "text"}),
    "stop": _UNSET_VALUES,
    "suffix": _UNSET_VALUES,
    "tools": _UNSET_VALUES,
}
_SAFE_SEGMENT_CHARS = "!$&'()*+,;=:@~"


def decode_completion(body: dict[str, Any]) -> Generation:
    """Return the generation that a /v1/completions body asks for.

    Raises:
        RequestError: If a field is malformed or not supported.
    """
    prompt = body.get("prompt", "")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise RequestError("prompt must be a string or a list of one string")
    return _decode_generation(body, prompt)


def decode_chat(body: dict[str, Any]) -> Generation:
    """Return the generation that a /v1/chat/completions body asks for.

    Raises:
        RequestError: If a field is malformed or not supported.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError("messages must be a non-empty list")
    prompt = "\n".join(_decode_message(item) for item in messages)
    return _decode_generation(body, prompt)


def decode_service_call(exchange: Exchange, path: str) -> ServiceCall:
    """Return the call to a plain service that an exchange asks for.

    Args:
        exchange: The exchange.
        path: Path below /v1/services/<service>, as it was sent.

    Raises:
        RequestError: If the method or the path is not allowed.
    """
    if exchange.method not in SERVICE_METHODS:
        raise RequestError(
            f"method {exchange.method} is not allowed; "
            "use GET, HEAD, POST, PUT, PATCH or DELETE"
        )
    headers = [
        (name, exchange.header(name))
        for name in FORWARDED_HEADERS
        if exchange.header(name)
    ]
    content_type = exchange.environ.get("CONTENT_TYPE")
    if exchange.body and content_type:
        headers.append(("Content-Type", content_type))
    query = f"?{exchange.query}" if exchange.query else ""
    return ServiceCall(
        exchange.method, canonical_path(path) + query, headers, exchange.body
    )


def canonical_path(path: str) -> str:
    """Return a path with canonical percent-encoding, as routing and endpoints see it.

    Raises:
        RequestError: If the path has a dot segment or a control character.
    """
    segments = [urllib.parse.unquote_to_bytes(part) for part in path.split("/")]
    for segment in segments:
        if segment in (b".", b"..") or any(byte < 0x20 for byte in segment):
            raise RequestError("the path contains a dot segment or a control character")
    return "/".join(urllib.parse.quote(part, _SAFE_SEGMENT_CHARS) for part in segments)


def _decode_generation(body: dict[str, Any], prompt: str) -> Generation:
    _check_supported(body)
    model = body.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARS:
        raise RequestError("model must be a non-empty string within the length limit")
    return Generation(
        _require_encodable(model),
        _require_encodable(prompt),
        _decode_max_tokens(body),
        _decode_temperature(body),
    )


def _check_supported(body: dict[str, Any]) -> None:
    for name, without_effect in _VALUES_WITHOUT_EFFECT.items():
        if body.get(name) not in without_effect:
            raise RequestError(f"this value of {name} is not supported")


def _decode_max_tokens(body: dict[str, Any]) -> int:
    value = body.get("max_completion_tokens")
    if value is None:
        value = body.get("max_tokens")
    if value is None:
        return DEFAULT_MAX_TOKENS
    if type(value) is not int:
        raise RequestError("max_tokens must be an integer")
    if not 1 <= value <= MAX_OUTPUT_TOKENS:
        raise RequestError(f"max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}")
    return value


def _decode_temperature(body: dict[str, Any]) -> float:
    value = body.get("temperature")
    if value is None:
        return 1.0
    if type(value) not in (int, float):
        raise RequestError("temperature must be a number")
    if not 0 <= value <= MAX_TEMPERATURE:
        raise RequestError(f"temperature must be from 0 to {MAX_TEMPERATURE:g}")
    return float(value)


def _decode_message(item: Any) -> str:
    if not isinstance(item, dict):
        raise RequestError("each message must be an object")
    role = item.get("role")
    if not isinstance(role, str) or not role:
        raise RequestError("each message must have a role that is a non-empty string")
    content = item.get("content")
    if isinstance(content, list):
        content = "".join(_decode_text_part(part) for part in content)
    if content is None:
        content = ""
    if not isinstance(content, str):
        raise RequestError("content must be a string or a list of text parts")
    return f"{role}: {content}"


def _decode_text_part(part: Any) -> str:
    if not isinstance(part, dict) or not isinstance(part.get("text"), str):
        raise RequestError("only text parts are supported")
    text: str = part["text"]
    return text


def _require_encodable(text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError as exc:
        raise RequestError(
            "the text contains a lone surrogate, which UTF-8 can't encode"
        ) from exc
    return text
