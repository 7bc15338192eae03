"""Decode HTTP requests into calls."""

import hashlib
import json
from typing import Any

from ..errors import ErrorKind, RequestError
from ..frames import Generation, ServiceCall
from ..gateway.messages import Call, Reconnect

MAX_BODY_BYTES = 1024 * 1024
MAX_KEY_CHARS = 200
MAX_TIMEOUT_S = 3600.0
DEFAULT_MAX_TOKENS = 512

Environ = dict[str, Any]


class Exchange:
    """What the front knows of one HTTP request.

    Attributes:
        call_id: Identifier of the exchange.
        request_id: The caller's request id, or one made for it.
        method: HTTP method.
        path: Path without query.
        query: Query string.
        environ: WSGI environment.
        body: Whole body.
    """

    __slots__ = (
        "body",
        "call_id",
        "environ",
        "method",
        "path",
        "query",
        "request_id",
    )

    def __init__(self, call_id: str, environ: Environ) -> None:
        self.call_id = call_id
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.query: str = environ.get("QUERY_STRING", "")
        self.request_id = _text(environ.get("HTTP_X_REQUEST_ID", ""), 100) or call_id
        self.body = b""

    def header(self, name: str) -> str:
        """Return a request header, empty if it was not sent."""
        return str(self.environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


def read_body(environ: Environ, *, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the request body.

    Raises:
        RequestError: If the length is malformed or over `max_bytes`.
    """
    text = environ.get("CONTENT_LENGTH") or "0"
    if not text.isdigit():
        raise RequestError("Content-Length is not a number")
    if int(text) > max_bytes:
        raise RequestError(
            f"the body is over {max_bytes} bytes", kind=ErrorKind.BODY_TOO_LARGE
        )
    if "HTTP_TRANSFER_ENCODING" in environ:
        body: bytes = environ["wsgi.input"].read(max_bytes + 1)
    else:
        body = environ["wsgi.input"].read(int(text))
        if len(body) < int(text):
            raise RequestError("the body is shorter than Content-Length")
    if len(body) > max_bytes:
        raise RequestError(
            f"the body is over {max_bytes} bytes", kind=ErrorKind.BODY_TOO_LARGE
        )
    return body


def decode_json(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body.

    Raises:
        RequestError: If the body is no JSON object.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise RequestError(f"the body is not JSON: {exc}") from exc
    if not isinstance(value, dict):
        raise RequestError("the body is not a JSON object")
    return value


def decode_completion(body: dict[str, Any]) -> Generation:
    """Return the work of a /v1/completions body."""
    prompt = body.get("prompt", "")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise RequestError("prompt must be one string")
    return _generation(body, prompt)


def decode_chat(body: dict[str, Any]) -> Generation:
    """Return the work of a /v1/chat/completions body."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise RequestError("messages must be a list that is not empty")
    prompt = "\n".join(_chat_line(item) for item in messages)
    return _generation(body, prompt)


def decode_service_call(exchange: Exchange, path: str) -> ServiceCall:
    """Return the work of a call below /v1/services/<service>."""
    headers = []
    content_type = exchange.environ.get("CONTENT_TYPE")
    if content_type:
        headers.append(("Content-Type", content_type))
    if exchange.header("Accept"):
        headers.append(("Accept", exchange.header("Accept")))
    query = f"?{exchange.query}" if exchange.query else ""
    return ServiceCall(exchange.method, path + query, headers, exchange.body)


def decode_call(
    exchange: Exchange, service: str, work: Generation | ServiceCall
) -> Call:
    """Return the call of an exchange.

    Raises:
        RequestError: If a header is malformed.
    """
    key = exchange.header("Idempotency-Key")
    if len(key) > MAX_KEY_CHARS or "/" in key:
        raise RequestError("Idempotency-Key is too long or holds a slash")
    return Call(
        exchange.call_id,
        exchange.request_id,
        _bearer(exchange),
        service,
        work,
        key=key,
        digest=hashlib.sha256(
            exchange.method.encode() + exchange.path.encode() + exchange.body
        ).hexdigest(),
        timeout_s=_timeout_s(exchange),
    )


def decode_reconnect(exchange: Exchange) -> Reconnect | None:
    """Return the reconnection that Last-Event-ID asks for, or None.

    Raises:
        RequestError: If the header is malformed.
    """
    event_id = exchange.header("Last-Event-ID")
    if not event_id:
        return None
    parts = event_id.split(":")
    if len(parts) != 3 or not parts[2].isdigit():
        raise RequestError("Last-Event-ID is malformed")
    endpoint, attempt_id, offset = parts
    return Reconnect(
        exchange.call_id,
        exchange.request_id,
        _bearer(exchange),
        endpoint,
        attempt_id,
        int(offset),
        timeout_s=_timeout_s(exchange),
    )


def _generation(body: dict[str, Any], prompt: str) -> Generation:
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise RequestError("model must be a string")
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool):
        raise RequestError("max_tokens must be an integer")
    if max_tokens < 1:
        raise RequestError("max_tokens must be at least 1")
    temperature = body.get("temperature", 1.0)
    if temperature is None:
        temperature = 1.0
    if not isinstance(temperature, int | float) or isinstance(temperature, bool):
        raise RequestError("temperature must be a number")
    if body.get("n", 1) not in (1, None):
        raise RequestError("n must be 1")
    return Generation(model, prompt, max_tokens, float(temperature))


def _chat_line(item: Any) -> str:
    if not isinstance(item, dict):
        raise RequestError("each message must be an object")
    content = item.get("content", "")
    if isinstance(content, list):
        content = "".join(_text_part(part) for part in content)
    if not isinstance(content, str):
        raise RequestError("content must be text")
    return f"{item.get('role', 'user')}: {content}"


def _text_part(part: Any) -> str:
    if not isinstance(part, dict) or not isinstance(part.get("text"), str):
        raise RequestError("only text parts are supported")
    text: str = part["text"]
    return text


def _bearer(exchange: Exchange) -> str:
    scheme, _, key = exchange.header("Authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _timeout_s(exchange: Exchange) -> float | None:
    text = exchange.header("X-Request-Timeout")
    if not text:
        return None
    try:
        timeout_s = float(text)
    except ValueError as exc:
        raise RequestError(
            "X-Request-Timeout is not a number of seconds", kind=ErrorKind.BAD_DEADLINE
        ) from exc
    if not 0 < timeout_s <= MAX_TIMEOUT_S:
        raise RequestError(
            f"X-Request-Timeout must be above 0 and at most {MAX_TIMEOUT_S:g}",
            kind=ErrorKind.BAD_DEADLINE,
        )
    return timeout_s


def _text(value: str, max_chars: int) -> str:
    return "".join(char for char in value if char.isprintable())[:max_chars]
