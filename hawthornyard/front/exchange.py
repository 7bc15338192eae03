"""Define the HTTP exchange and the protocol of the routes that answer it."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

Environ = dict[str, Any]
Headers = list[tuple[str, str]]
StartResponse = Callable[[str, Headers], Any]

MAX_REQUEST_ID_CHARS = 100

CLOSE_CONNECTION_KEY = "hawthornyard.close_connection"
"""Key in the WSGI environment of a callable that makes the server close the connection
after the response."""

HOLDING_KEY = "hawthornyard.holding"
"""Key in the WSGI environment of what the request and its answer hold in memory."""

WORKLOAD_KEY = "hawthornyard.workload"
"""Key in the WSGI environment of the work that the request has caused so far."""


class Exchange:
    """One HTTP request, with the identifiers of its answer.

    Attributes:
        call_id: Identifier of the exchange.
        request_id: Visible ASCII characters of X-Request-ID, at most
            `MAX_REQUEST_ID_CHARS`; `call_id` if there are none.
        method: HTTP method.
        path: Decoded path without query.
        raw_path: Path as it was sent, without query.
        query: Query string.
        environ: WSGI environment.
        body: Whole body, empty until a route has read it.
    """

    __slots__ = (
        "body",
        "call_id",
        "environ",
        "method",
        "path",
        "query",
        "raw_path",
        "request_id",
    )

    def __init__(self, call_id: str, environ: Environ) -> None:
        self.call_id = call_id
        self.environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path = str(environ["PATH_INFO"])
        self.raw_path = str(environ.get("RAW_PATH_INFO", self.path))
        self.query: str = environ.get("QUERY_STRING", "")
        self.request_id = _sanitize_request_id(self.header("X-Request-ID")) or call_id
        self.body = b""

    def header(self, name: str) -> str:
        """Return a request header, empty if it was not sent."""
        return str(self.environ.get("HTTP_" + name.upper().replace("-", "_"), ""))


class Route(Protocol):
    """A handler of the requests to one group of paths."""

    def answer(self, exchange: Exchange, start: StartResponse) -> Iterable[bytes]:
        """Send the status and headers with `start` and return the body.

        Raises:
            RequestError: If the request is malformed; nothing was sent yet.
        """
        ...


def _sanitize_request_id(text: str) -> str:
    visible = (char for char in text if "!" <= char <= "~")
    return "".join(visible)[:MAX_REQUEST_ID_CHARS]
