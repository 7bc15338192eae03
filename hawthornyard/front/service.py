"""Answer calls to plain services."""

from collections.abc import Iterable, Sequence

from ..core import Inbox
from ..gateway.messages import ReplyFailed, ReplyResponse
from .answer import answer_bytes, answer_error
from .body import read_body
from .call import decode_call
from .exchange import Exchange, Headers, StartResponse
from .replies import ReplyQueues
from .session import Session
from .work import decode_service_call

SERVICES_PREFIX = "/v1/services/"
_BODILESS_STATUSES = (204, 304)

# Hop-by-hop headers, and headers that the gateway sets itself.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "idempotency-replayed",
        "x-error-kind",
        "x-request-id",
        "x-request-ran",
        "x-should-retry",
    }
)


class ServiceRoute:
    """The route of the paths below /v1/services/<service>.

    Args:
        inbox: Head of the gateway's pipeline.
        replies: Queues of the replies from its tail.
    """

    __slots__ = ("_inbox", "_replies")

    def __init__(self, inbox: Inbox, replies: ReplyQueues) -> None:
        self._inbox = inbox
        self._replies = replies

    def answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        """Answer a call; see `Route.answer`."""
        rest = exchange.raw_path[len(SERVICES_PREFIX) :]
        service, slash, path = rest.partition("/")
        exchange.body = read_body(exchange.environ)
        work = decode_service_call(exchange, slash + path or "/")
        call = decode_call(exchange, service, work)
        with Session(exchange, self._replies, self._inbox, call) as session:
            while not session.is_final:
                ready = session.take()
        final = ready[-1]
        if isinstance(final, ReplyFailed):
            return answer_error(exchange, start, final)
        assert isinstance(final, ReplyResponse)
        headers = forwarded_headers(final.headers, exchange.method, final.status)
        if final.replayed:
            headers.append(("Idempotency-Replayed", "true"))
        return answer_bytes(
            exchange, start, final.body, status=final.status, headers=headers
        )


def forwarded_headers(
    headers: Sequence[Sequence[str]], method: str, status: int
) -> Headers:
    """Return the headers of a service's answer that are forwarded to its caller.

    Hop-by-hop headers, those that Connection names, those that the gateway sets itself
    and those that contain an invalid character are dropped. An answer to HEAD or with
    status 204 or 304 keeps its Content-Length, which describes a body that was not
    sent.

    Args:
        headers: Pairs of name and value.
        method: Method of the request.
        status: Status of the answer.
    """
    dropped = set(_NOT_FORWARDED_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(option.strip().lower() for option in value.split(","))
    if method == "HEAD" or status in _BODILESS_STATUSES:
        dropped.discard("content-length")
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped and _is_valid_field(name + value)
    ]


def _is_valid_field(text: str) -> bool:
    # Tab is allowed in a value; a line break would start another header.
    return all(" " <= char <= "\xff" or char == "\t" for char in text)
