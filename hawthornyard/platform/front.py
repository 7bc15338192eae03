"""Answer callers in the platform's manner."""

from collections.abc import Callable, Iterable, Iterator

from loguru import logger

from ..core import Identifiers, Inbox
from ..edge.directory import Directory
from ..edge.messages import ReplyBegan, ReplyEvents
from ..errors import ANSWERS, ErrorKind, RequestError, StreamCutError
from ..front.answer import answer_json, error_body, error_headers, status_line
from ..front.body import read_body
from ..front.exchange import Environ, Exchange, StartResponse
from ..front.replies import ReplyQueues
from ..front.session import Session
from ..gateway.messages import ReplyFailed, ReplyWhole
from .calls import decode_call, decode_request_id
from .names import REQUEST_ID
from .protocol import CLOSE_KEY

BODY_TIMEOUT_S = 10.0
"""Bound on reading a body; callers' own limits are shorter."""


class PlatformFront:
    """A WSGI application for the platform's callers.

    Args:
        inbox: Head of the pipe.
        replies: Replies from its tail.
        identifiers: Source of exchange ids.
        directory: Tells what callers may send.
        is_stopping: Tells whether connections are to be closed.
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
        """Answer one HTTP request; every failure has its error kind."""
        exchange = Exchange(self._identifiers.new(), environ)
        try:
            exchange.request_id = decode_request_id(exchange)
            return self._answer(exchange, start)
        except RequestError as exc:
            # What follows on the connection may be the rest of a bad request.
            environ[CLOSE_KEY]()
            reply = ReplyFailed(exchange.call_id, exc.kind, exc.detail)
            logger.bind(
                request_id=exchange.request_id, reason=exc.kind.value, detail=exc.detail
            ).warning("request_refused")
        except Exception as exc:
            environ[CLOSE_KEY]()
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
            ready = session.take()
        except BaseException:
            session.close()
            raise
        if self._is_stopping():
            exchange.environ[CLOSE_KEY]()
        first = ready[0]
        if isinstance(first, ReplyBegan):
            start(status_line(first.status), list(first.headers))
            return EventBody(session, ready)
        session.close()
        if isinstance(first, ReplyWhole):
            start(status_line(first.status), [(n, v) for n, v in first.headers])
            return [first.body]
        assert isinstance(first, ReplyFailed)
        return _answer_error(exchange, start, first)


class EventBody:
    """The body of a stream: events as they come.

    Args:
        session: Where replies come from; closed with the stream.
        ready: Replies that were taken already.
    """

    __slots__ = ("_ready", "_session")

    def __init__(self, session: Session, ready: list[object]) -> None:
        self._session = session
        self._ready = ready

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        while True:
            data = self._join()
            if data:
                return data
            if self._session.is_final:
                raise StopIteration
            self._ready = list(self._session.take())

    def close(self) -> None:
        """End the session; called by the server however the stream ends."""
        self._session.close()

    def _join(self) -> bytes:
        ready, self._ready = self._ready, []
        data = b"".join(item.data for item in ready if isinstance(item, ReplyEvents))
        last = ready[-1] if ready else None
        if isinstance(last, ReplyFailed):
            if data:
                self._ready = [last]
                return data
            raise StreamCutError(last.detail)
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
        headers=[*headers, (REQUEST_ID, exchange.request_id)],
    )
