"""Answer the platform's callers over HTTP."""

from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from ..core import Identifiers, Inbox
from ..edge.directory import Directory
from ..edge.messages import ReplyBegan, ReplyEvents
from ..errors import ANSWERS, ErrorKind, RequestError, TruncatedStreamError
from ..front.answer import answer_json, error_body, error_headers, status_line
from ..front.body import read_body
from ..front.exchange import (
    CLOSE_CONNECTION_KEY,
    Environ,
    Exchange,
    StartResponse,
)
from ..front.replies import ReplyQueues
from ..front.session import Session
from ..gateway.messages import ReplyFailed, ReplyResponse
from .decode import decode_call, decode_request_id
from .names import REQUEST_ID_HEADER

BODY_TIMEOUT_S = 10.0
"""Timeout for reading a body; callers' own timeouts are shorter."""


class PlatformFront:
    """WSGI application for the platform's callers.

    Args:
        inbox: Input of the pipeline; receives the calls.
        replies: Replies from the end of the pipeline.
        identifiers: Source of exchange ids.
        directory: Holds the limits on what callers may send.
        is_stopping: Returns whether connections must close after their response.
    """

    __slots__ = ("_directory", "_identifiers", "_inbox", "_is_stopping", "_replies")

    def __init__(
        self,
        inbox: Inbox,
        replies: ReplyQueues,
        identifiers: Identifiers,
        directory: Directory,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._inbox = inbox
        self._replies = replies
        self._identifiers = identifiers
        self._directory = directory
        self._is_stopping = is_stopping

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request; a failure is answered with its error kind."""
        exchange = Exchange(self._identifiers.new(), environ)
        try:
            exchange.request_id = decode_request_id(exchange)
            return self._answer(exchange, start)
        except RequestError as exc:
            # The next bytes on the connection may be the rest of the refused request.
            environ[CLOSE_CONNECTION_KEY]()
            reply = ReplyFailed(exchange.call_id, exc.kind, exc.detail)
            logger.bind(
                request_id=exchange.request_id, reason=exc.kind.value, detail=exc.detail
            ).warning("request_refused")
        except Exception as exc:
            environ[CLOSE_CONNECTION_KEY]()
            logger.bind(request_id=exchange.request_id).opt(exception=exc).error(
                "exchange_failed"
            )
            reply = ReplyFailed(exchange.call_id, ErrorKind.INTERNAL)
        return _answer_error(exchange, start, reply)

    def _answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        exchange.body = read_body(
            exchange.environ,
            max_bytes=self._directory.limits.max_body_bytes,
            timeout_s=BODY_TIMEOUT_S,
        )
        call = decode_call(exchange)
        session = Session(exchange, self._replies, self._inbox, call)
        try:
            replies = session.take()
            while isinstance(replies[-1], ReplyBegan):
                replies += session.take()
        except BaseException:
            session.close()
            raise
        if self._is_stopping():
            exchange.environ[CLOSE_CONNECTION_KEY]()
        first_reply = replies[0]
        if isinstance(first_reply, ReplyBegan) and isinstance(replies[1], ReplyFailed):
            # Nothing of the stream was sent, so that the failure can still be told.
            first_reply = replies[1]
        if isinstance(first_reply, ReplyBegan):
            start(status_line(first_reply.status), list(first_reply.headers))
            return EventStreamBody(session, replies)
        session.close()
        if isinstance(first_reply, ReplyResponse):
            start(
                status_line(first_reply.status),
                [(n, v) for n, v in first_reply.headers],
            )
            return [first_reply.body]
        assert isinstance(first_reply, ReplyFailed)
        return _answer_error(exchange, start, first_reply)


class EventStreamBody:
    """Response body of a stream, which yields events as they arrive.

    If the stream fails, it raises `TruncatedStreamError` after the last events.

    Args:
        session: Source of replies; closed with the stream.
        replies: Replies already taken from the session.
    """

    __slots__ = ("_pending", "_session")

    def __init__(self, session: Session, replies: list[object]) -> None:
        self._session = session
        self._pending = replies

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        while True:
            data = self._take_data()
            if data:
                return data
            if self._session.is_final:
                raise StopIteration
            self._pending = list(self._session.take())

    def close(self) -> None:
        """Close the session; the WSGI server calls this however the stream ends."""
        self._session.close()

    def _take_data(self) -> bytes:
        replies, self._pending = self._pending, []
        data = b"".join(item.data for item in replies if isinstance(item, ReplyEvents))
        last = replies[-1] if replies else None
        if isinstance(last, ReplyFailed):
            if data:
                self._pending = [last]
                return data
            raise TruncatedStreamError(last.detail)
        return data


def _answer_error(
    exchange: Exchange, start: StartResponse, reply: ReplyFailed
) -> Iterable[bytes]:
    headers = error_headers(reply.kind, retry_after_s=reply.retry_after_s)
    return answer_json(
        exchange,
        start,
        error_body(reply, exchange.request_id),
        status=ANSWERS[reply.kind].status,
        headers=[*headers, (REQUEST_ID_HEADER, exchange.request_id)],
    )
