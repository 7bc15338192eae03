"""Answer generation requests, as one JSON body or as a stream of events."""

import time
from collections.abc import Iterable, Iterator
from typing import Any

from loguru import logger

from ..core import Inbox
from ..errors import ErrorKind, RequestError
from ..gateway.messages import (
    Call,
    Reconnect,
    ReplyEnded,
    ReplyFailed,
    ReplyStarted,
    ReplyTokens,
)
from .answer import answer_error, answer_json, error_body, status_line
from .body import decode_json, read_body
from .call import decode_call, decode_reconnect
from .encode import DONE_EVENT, GenerationEncoder, GenerationFormat, encode_event
from .exchange import Exchange, StartResponse
from .replies import Reply, ReplyQueues
from .session import Session

EVENT_STREAM_TYPE = ("Content-Type", "text/event-stream")
NO_STORE = ("Cache-Control", "no-store")


class GenerationRoute:
    """The route of one generation path.

    Args:
        inbox: Head of the gateway's pipeline.
        replies: Queues of the replies from its tail.
        body_format: Decodes the path's request bodies and encodes its answers.
    """

    __slots__ = ("_body_format", "_inbox", "_replies")

    def __init__(
        self, inbox: Inbox, replies: ReplyQueues, body_format: GenerationFormat
    ) -> None:
        self._inbox = inbox
        self._replies = replies
        self._body_format = body_format

    def answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        """Answer a generation request; see `Route.answer`."""
        if exchange.method != "POST":
            raise RequestError("only POST is allowed on this path")
        exchange.body = read_body(exchange.environ)
        body = decode_json(exchange.body)
        work = self._body_format.decode(body)
        encoder = self._body_format.encoder(
            exchange.call_id, work.model, int(time.time())
        )
        reconnect = decode_reconnect(exchange)
        if not body.get("stream"):
            if reconnect is not None:
                raise RequestError("Last-Event-ID is only allowed with stream set")
            call = decode_call(exchange, "", work)
            return self._answer_whole(exchange, encoder, call, start)
        call_or_reconnect = reconnect or decode_call(exchange, "", work)
        return self._answer_stream(exchange, encoder, call_or_reconnect, start, body)

    def _answer_whole(
        self,
        exchange: Exchange,
        encoder: GenerationEncoder,
        call: Call,
        start: StartResponse,
    ) -> Iterable[bytes]:
        texts: list[str] = []
        with Session(exchange, self._replies, self._inbox, call) as session:
            while not session.is_final:
                ready = session.take()
                for reply in ready:
                    if isinstance(reply, ReplyTokens):
                        texts.extend(reply.texts)
        final = ready[-1]
        if isinstance(final, ReplyEnded):
            return answer_json(exchange, start, encoder.whole_body(texts, final))
        assert isinstance(final, ReplyFailed)
        return answer_error(exchange, start, final)

    def _answer_stream(
        self,
        exchange: Exchange,
        encoder: GenerationEncoder,
        call: Call | Reconnect,
        start: StartResponse,
        body: dict[str, Any],
    ) -> Iterable[bytes]:
        session = Session(exchange, self._replies, self._inbox, call)
        try:
            ready = session.take()
            while isinstance(ready[-1], ReplyStarted):
                ready = session.take()
        except BaseException:
            session.close()
            raise
        final = ready[-1]
        if isinstance(final, ReplyFailed) and not _has_tokens(ready):
            session.close()
            return answer_error(exchange, start, final)
        request_id = ("X-Request-ID", exchange.request_id)
        start(status_line(200), [EVENT_STREAM_TYPE, NO_STORE, request_id])
        events = EventStream(session, exchange, encoder, with_usage=_wants_usage(body))
        events.begin(ready, with_opening=isinstance(call, Call))
        return events


class EventStream:
    """The body of a streamed answer: server-sent events, encoded as replies arrive.

    Args:
        session: Source of the replies; closed with the stream.
        exchange: The HTTP exchange.
        encoder: Encodes the events.
        with_usage: Whether to send the token usage as the last event before [DONE].
    """

    __slots__ = (
        "_encode_by_type",
        "_encoder",
        "_exchange",
        "_ready",
        "_session",
        "_with_usage",
    )

    def __init__(
        self,
        session: Session,
        exchange: Exchange,
        encoder: GenerationEncoder,
        *,
        with_usage: bool,
    ) -> None:
        self._session = session
        self._exchange = exchange
        self._encoder = encoder
        self._with_usage = with_usage
        self._ready = b""
        self._encode_by_type: dict[type[Reply], Any] = {
            ReplyStarted: self._encode_started,
            ReplyTokens: self._encode_tokens,
            ReplyEnded: self._encode_ended,
            ReplyFailed: self._encode_failed,
        }

    def begin(self, ready: list[Reply], *, with_opening: bool) -> None:
        """Encode the replies that were taken before the answer was started.

        Args:
            ready: The replies.
            with_opening: Whether to send the opening event first; False for a
                caller that reconnects and has received it already.
        """
        opening = self._encoder.opening_event() if with_opening else b""
        self._ready = opening + self._encode_replies(ready)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._ready:
            data, self._ready = self._ready, b""
            return data
        if self._session.is_final:
            raise StopIteration
        return self._encode_replies(self._session.take())

    def close(self) -> None:
        """End the session; called by the server however the stream ends."""
        self._session.close()

    def _encode_replies(self, ready: list[Reply]) -> bytes:
        try:
            return b"".join(self._encode_by_type[type(reply)](reply) for reply in ready)
        except Exception as exc:
            # The status line has been sent, so the error can only go into an event.
            logger.opt(exception=exc).error("encoding_failed")
            self._session.close()
            self._session.is_final = True
            failure = ReplyFailed(self._exchange.call_id, ErrorKind.INTERNAL)
            return self._encode_failed(failure)

    def _encode_started(self, reply: ReplyStarted) -> bytes:
        return b""

    def _encode_tokens(self, reply: ReplyTokens) -> bytes:
        return self._encoder.token_events(reply)

    def _encode_ended(self, reply: ReplyEnded) -> bytes:
        events = self._encoder.finish_event(reply)
        if self._with_usage:
            events += self._encoder.usage_event(reply)
        return events + DONE_EVENT

    def _encode_failed(self, reply: ReplyFailed) -> bytes:
        return encode_event(error_body(reply, self._exchange.request_id))


def _has_tokens(ready: list[Reply]) -> bool:
    return any(isinstance(reply, ReplyTokens) for reply in ready)


def _wants_usage(body: dict[str, Any]) -> bool:
    options = body.get("stream_options")
    return isinstance(options, dict) and bool(options.get("include_usage"))
