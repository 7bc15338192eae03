"""Answer callers over HTTP."""

import http.client
import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

import eventlet
from eventlet import hubs
from loguru import logger

from ..core import Identifiers, Inbox
from ..errors import ANSWERS, ErrorKind, RequestError
from ..gateway.messages import (
    CallerGone,
    ReplyEnded,
    ReplyFailed,
    ReplyStarted,
    ReplyTokens,
    ReplyWhole,
)
from .decode import (
    Environ,
    Exchange,
    decode_call,
    decode_chat,
    decode_completion,
    decode_json,
    decode_reconnect,
    decode_service_call,
    read_body,
)
from .encode import (
    DONE_EVENT,
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    ChatEncoder,
    CompletionEncoder,
    GenerationEncoder,
    Headers,
    encode_error,
    encode_event,
    encode_tokens,
    error_headers,
)
from .replies import Replies

StartResponse = Callable[[str, Headers], Any]

SERVICES_PREFIX = "/v1/services/"
COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"


class Probe(Protocol):
    """Tell how the gateway is."""

    def is_ready(self) -> bool:
        """Return whether new callers may be sent here."""
        ...

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        ...

    def status(self) -> dict[str, Any]:
        """Return the fleet as this gateway sees it."""
        ...


class Application:
    """The gateway's WSGI application.

    Args:
        inbox: Head of the gateway's pipe.
        replies: Replies from its tail.
        identifiers: Source of exchange ids.
        probe: Answers health and metrics.
    """

    __slots__ = ("_identifiers", "_inbox", "_probe", "_replies")

    def __init__(
        self, inbox: Inbox, replies: Replies, identifiers: Identifiers, probe: Probe
    ) -> None:
        self._inbox = inbox
        self._replies = replies
        self._identifiers = identifiers
        self._probe = probe

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        exchange = Exchange(self._identifiers.new(), environ)
        try:
            return self._answer(exchange, start)
        except RequestError as exc:
            reply = ReplyFailed(exchange.call_id, exc.kind, exc.detail)
            return _error(exchange, reply, start)

    def _answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        path = exchange.path
        if path.startswith(SERVICES_PREFIX):
            return self._service(exchange, start)
        if path in (COMPLETIONS_PATH, CHAT_PATH):
            return self._generation(exchange, start)
        if path == "/healthz":
            return _plain(start, 200, b"ok\n")
        if path == "/readyz":
            ready = self._probe.is_ready()
            return _plain(
                start, 200 if ready else 503, b"ready\n" if ready else b"no\n"
            )
        if path == "/metrics":
            return _plain(start, 200, self._probe.metrics())
        if path == "/v1/status":
            return _json(start, 200, self._probe.status())
        raise RequestError("no such path", kind=ErrorKind.UNKNOWN_SERVICE)

    def _service(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        rest = exchange.path[len(SERVICES_PREFIX) :]
        service, slash, path = rest.partition("/")
        exchange.body = read_body(exchange.environ)
        work = decode_service_call(exchange, slash + path or "/")
        call = decode_call(exchange, service, work)
        self._replies.open(call.call_id)
        self._inbox.put(call)
        with _Watch(exchange, self._inbox):
            reply = self._final(call.call_id)
        if isinstance(reply, ReplyFailed):
            return _error(exchange, reply, start)
        assert isinstance(reply, ReplyWhole)
        headers = [(name, value) for name, value in reply.headers]
        headers.append(("X-Request-ID", exchange.request_id))
        if reply.replayed:
            headers.append(("Idempotency-Replayed", "true"))
        start(_status_line(reply.status), headers)
        return [reply.body]

    def _generation(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        if exchange.method != "POST":
            raise RequestError("only POST is supported here")
        exchange.body = read_body(exchange.environ)
        body = decode_json(exchange.body)
        is_chat = exchange.path == CHAT_PATH
        work = decode_chat(body) if is_chat else decode_completion(body)
        encoder_type = ChatEncoder if is_chat else CompletionEncoder
        encoder = encoder_type(exchange.call_id, work.model, int(time.time()))
        call = decode_reconnect(exchange) or decode_call(exchange, "", work)
        self._replies.open(exchange.call_id)
        self._inbox.put(call)
        if body.get("stream"):
            return self._stream(exchange, encoder, start)
        return self._whole(exchange, encoder, start)

    def _whole(
        self, exchange: Exchange, encoder: GenerationEncoder, start: StartResponse
    ) -> Iterable[bytes]:
        texts: list[str] = []
        with _Watch(exchange, self._inbox):
            reply = self._final(exchange.call_id, texts)
        if isinstance(reply, ReplyFailed):
            return _error(exchange, reply, start)
        assert isinstance(reply, ReplyEnded)
        headers = [("X-Request-ID", exchange.request_id)]
        return _json(start, 200, encoder.whole(texts, reply), headers)

    def _stream(
        self, exchange: Exchange, encoder: GenerationEncoder, start: StartResponse
    ) -> Iterable[bytes]:
        ready = self._replies.take(exchange.call_id)
        while len(ready) == 1 and isinstance(ready[0], ReplyStarted):
            ready = self._replies.take(exchange.call_id)
        failure = next((msg for msg in ready if isinstance(msg, ReplyFailed)), None)
        if failure is not None and failure.n_delivered == 0:
            self._replies.close(exchange.call_id)
            return _error(exchange, failure, start)
        headers = [EVENT_STREAM_TYPE, ("Cache-Control", "no-store")]
        headers.append(("X-Request-ID", exchange.request_id))
        start("200 OK", headers)
        return self._events(exchange, encoder, ready)

    def _events(
        self, exchange: Exchange, encoder: GenerationEncoder, ready: list[Any]
    ) -> Iterator[bytes]:
        call_id = exchange.call_id
        with _Watch(exchange, self._inbox):
            try:
                while True:
                    yield b"".join(
                        _encode_reply(msg, encoder, exchange) for msg in ready
                    )
                    if isinstance(ready[-1], ReplyEnded | ReplyFailed):
                        return
                    ready = self._replies.take(call_id)
            finally:
                self._replies.close(call_id)

    def _final(self, call_id: str, texts: list[str] | None = None) -> Any:
        try:
            while True:
                for msg in self._replies.take(call_id):
                    if isinstance(msg, ReplyTokens) and texts is not None:
                        texts.extend(msg.texts)
                    elif not isinstance(msg, ReplyStarted):
                        return msg
        finally:
            self._replies.close(call_id)


class _Watch:
    """Tell the loop when the caller closes its connection."""

    __slots__ = ("_exchange", "_inbox", "_thread")

    def __init__(self, exchange: Exchange, inbox: Inbox) -> None:
        self._exchange = exchange
        self._inbox = inbox
        self._thread: Any = None

    def __enter__(self) -> "_Watch":
        self._thread = eventlet.spawn(self._watch)
        return self

    def __exit__(self, exc_type: object, exc: object, trace: object) -> None:
        self._thread.kill()
        if exc_type is not None:
            self._inbox.put(CallerGone(self._exchange.call_id))

    def _watch(self) -> None:
        sock = self._exchange.environ["wsgi.input"].get_socket()
        try:
            hubs.trampoline(sock.fileno(), read=True)
            if sock.recv(1, eventlet.green.socket.MSG_PEEK):
                return
        except OSError as exc:
            logger.bind(detail=str(exc)).debug("caller_lost")
        self._inbox.put(CallerGone(self._exchange.call_id))


def _encode_reply(msg: Any, encoder: GenerationEncoder, exchange: Exchange) -> bytes:
    if isinstance(msg, ReplyTokens):
        return encode_tokens(msg, encoder)
    if isinstance(msg, ReplyEnded):
        return encode_event(encoder.last(msg)) + DONE_EVENT
    if isinstance(msg, ReplyFailed):
        return encode_event(encode_error(msg, exchange.request_id))
    return b""


def _error(
    exchange: Exchange, reply: ReplyFailed, start: StartResponse
) -> Iterable[bytes]:
    headers = error_headers(reply.kind)
    headers.append(("X-Request-ID", exchange.request_id))
    body = encode_error(reply, exchange.request_id)
    return _json(start, ANSWERS[reply.kind].status, body, headers)


def _json(
    start: StartResponse,
    status: int,
    body: dict[str, Any],
    headers: Headers | None = None,
) -> Iterable[bytes]:
    start(_status_line(status), [JSON_TYPE, *(headers or [])])
    return [json.dumps(body).encode()]


def _plain(start: StartResponse, status: int, body: bytes) -> Iterable[bytes]:
    start(_status_line(status), [("Content-Type", "text/plain; charset=utf-8")])
    return [body]


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"
