"""Serve a WSGI application on eventlet."""

import functools
import resource
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import greenlet
from loguru import logger

from ..io import listen
from ..net import PROCESS_BUDGET, Holding
from .exchange import CLOSE_CONNECTION_KEY, HOLDING_KEY, Environ, StartResponse

MAX_CONNECTIONS = 10_000
# File descriptors reserved for peers, the platform and the process itself.
RESERVED_DESCRIPTORS = 128
# By default eventlet buffers 4,096 bytes before it sends a chunk, which delays
# tokens by seconds.
MINIMUM_CHUNK_BYTES = 1
IDLE_TIMEOUT_S = 75.0
SOCKET_TIMEOUT_S = 30.0
# Turns of the hub at a stop, in which what has arrived is accepted and then read.
STOP_TURNS = 3


class Exchanges:
    """Count of a server's requests that are being read or answered."""

    __slots__ = ("_n_open",)

    def __init__(self) -> None:
        self._n_open = 0

    def __len__(self) -> int:
        return self._n_open

    def begin(self) -> None:
        """Count a request of which the first line has been read."""
        self._n_open += 1

    def end(self) -> None:
        """Leave out a request that has been answered or given up."""
        self._n_open -= 1


class ServerProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """HTTP protocol that bounds the time for a request's head and logs its messages.

    Args:
        conn_state: State of the connection, as the base class has it.
        server: Server of the base class.
        exchanges: Counts the requests.

    Attributes:
        head_timeout_s: Seconds within which the whole head of a request must arrive,
            in addition to the idle time before it.
    """

    head_timeout_s = SOCKET_TIMEOUT_S

    def __init__(self, conn_state: Any, server: Any, exchanges: Exchanges) -> None:
        self._exchanges = exchanges
        self._is_open = False
        self._holding: Holding | None = None
        # Handles the connection until its end.
        super().__init__(conn_state, server)

    def handle_one_request(self) -> None:
        """Read and answer a request, which counts as open from its first line on."""
        host, port = self.client_address[:2]
        holding = PROCESS_BUDGET.hold(f"{host}:{port}", self.connection.abort)
        self._holding = holding
        try:
            super().handle_one_request()
        finally:
            holding.release()
            if self._is_open:
                self._is_open = False
                self._exchanges.end()

    def parse_request(self) -> bool:
        """Read the rest of the head; see the base class for the result.

        Raises:
            TimeoutError: If the head does not arrive in time.
        """
        self.connection.limit_time(self.head_timeout_s)
        try:
            is_valid: bool = super().parse_request()
        finally:
            self.connection.limit_time(None)
        return is_valid

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the keys that `exchange` defines."""
        environ: dict[str, Any] = super().get_environ()
        environ[HOLDING_KEY] = self._holding
        environ[CLOSE_CONNECTION_KEY] = self._close_after_response
        return environ

    def _close_after_response(self) -> None:
        self.close_connection = True

    def _read_request_line(self) -> bytes:
        self.connection.limit_time(self.server.keepalive + self.head_timeout_s)
        line: bytes = super()._read_request_line()
        if line:
            self._is_open = True
            self._exchanges.begin()
        return line

    def log_message(self, format: str, *args: object) -> None:
        """Log a message of the base class, such as the reason of a status 400."""
        self.server.log.debug(format % args)


class _HeadApplication:
    """WSGI application that drops the bodies of answers to HEAD.

    The WSGI server sends them, and the client takes them for the next answer.

    Args:
        app: The application that answers.
    """

    __slots__ = ("_app",)

    def __init__(self, app: Any) -> None:
        self._app = app

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        body: Iterable[bytes] = self._app(environ, start)
        if environ["REQUEST_METHOD"] != "HEAD":
            return body
        try:
            for _ in body:
                pass
        finally:
            if hasattr(body, "close"):
                body.close()
        return []


class HttpServer:
    """An HTTP server that runs a WSGI application in green threads.

    Args:
        address: Address and port to listen on; port 0 picks a free one.
        app: WSGI application.
        protocol: Class that reads requests from and writes answers to a connection.

    Attributes:
        exchanges: Its requests that are being read or answered.
    """

    __slots__ = ("_app", "_protocol", "_sock", "_thread", "exchanges")

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        *,
        protocol: type[ServerProtocol] = ServerProtocol,
    ) -> None:
        self._app = _HeadApplication(app)
        self.exchanges = Exchanges()
        self._protocol = functools.partial(protocol, exchanges=self.exchanges)
        self._sock = listen(address)
        self._thread: Any = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        port: int = self._sock.getsockname()[1]
        return port

    def start(self) -> None:
        """Start to serve; return at once."""
        self._thread = eventlet.spawn(self._serve)

    def close(self) -> None:
        """Stop accepting connections; requests that have arrived are answered."""
        eventlet.spawn_n(self._stop)

    def wait(self) -> None:
        """Wait until the server is closed and all exchanges have ended."""
        try:
            self._thread.wait()
        except (greenlet.GreenletExit, OSError):
            return

    def _stop(self) -> None:
        # Closing the listener resets what waits to be accepted, and when it ends,
        # `eventlet.wsgi.server` cuts connections whose request is still unread.
        for _ in range(STOP_TURNS):
            eventlet.sleep(0)
        # The finally clause of `eventlet.wsgi.server` closes idle connections and
        # waits for the others.
        self._thread.kill()
        # Closed only after the thread has ended: when a closed descriptor's number is
        # reused, eventlet's hub wakes the thread that waited on the old socket once
        # more, wherever that thread waits by then.
        self._sock.close()

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._sock,
            self._app,
            log=_EventletLog(),
            protocol=self._protocol,
            minimum_chunk_size=MINIMUM_CHUNK_BYTES,
            max_size=max_connections(),
            keepalive=IDLE_TIMEOUT_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            debug=False,
            log_format="",
        )


def max_connections() -> int:
    """Return the limit of connections, from 1 to `MAX_CONNECTIONS`.

    Within that range, it is the limit on open files less `RESERVED_DESCRIPTORS`.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(1, min(MAX_CONNECTIONS, soft - RESERVED_DESCRIPTORS))


class _EventletLog:
    """The log object of eventlet's server; logs each message at level DEBUG."""

    __slots__ = ()

    def info(self, text: str, *args: object) -> None:
        if text:
            logger.bind(detail=text % args if args else text).debug("http_server")

    debug = info
    error = info
