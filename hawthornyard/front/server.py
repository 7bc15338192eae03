"""Serve a WSGI application on eventlet."""

import contextlib
import functools
import resource
import socket
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.wsgi
import greenlet
from loguru import logger

from ..errors import OversizedMessageError, RequestError
from ..io import listen
from ..net import (
    MAX_HEAD_BYTES,
    PROCESS_BUDGET,
    PROCESS_TURNS,
    Workload,
    total_bytes,
)
from .body import read_body
from .connections import ConnectionPool
from .exchange import (
    CLOSE_CONNECTION_KEY,
    HOLDING_KEY,
    WORKLOAD_KEY,
    Environ,
    StartResponse,
)
from .head import HeadReader

MAX_CONNECTIONS = 10_000
MAX_FILES = 20_000
"""Descriptors of a process without a limit on open files."""
# File descriptors reserved for files, the store, peers and probes.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors that clients' connections may take; the rest is for
# calls of endpoints.
CONNECTION_SHARE = 2 / 3
PROBE_CONNECTIONS = 32
"""Connections that a listener for probes of a process may have."""
STALL_TIMEOUT_S = 10.0
"""Time for which a client may take nothing of its response, as the system reports it.
A pause in a connection that goes on is shorter; an endpoint is freed at its end."""
SEND_BUFFER_BYTES = 64 * 1024
"""Send buffer that the system is asked for. By default it grows to megabytes, which are
memory of the machine as well, and hide that a client reads nothing."""
# By default eventlet buffers 4,096 bytes before it sends a chunk, which delays
# tokens by seconds.
MINIMUM_CHUNK_BYTES = 1
IDLE_TIMEOUT_S = 75.0
SOCKET_TIMEOUT_S = 30.0
CONNECTION_BYTES = 28 * 1024
"""Memory that an idle connection takes: its green thread, buffers and objects. 400 of
them were measured to take 28.4 KiB each."""
LARGE_HEAD_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n"
)
BAD_HEAD_RESPONSE = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n"
)
# Turns of the hub at a stop, in which what has arrived is accepted and then read.
STOP_TURNS = 3


class Exchanges:
    """Count of a server's requests that are being read or answered.

    Attributes:
        n_stalled: Clients that were cut off as they took nothing of their response.
    """

    __slots__ = ("_n_open", "n_stalled")

    def __init__(self) -> None:
        self._n_open = 0
        self.n_stalled = 0

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
        pool: Registers the connections.

    Attributes:
        head_timeout_s: Seconds within which the whole head of a request must arrive,
            in addition to the idle time before it.
        max_head_bytes: Largest head of a request, without its first line.
    """

    environ: Any
    headers: Any
    head_timeout_s = SOCKET_TIMEOUT_S
    max_head_bytes = MAX_HEAD_BYTES

    def __init__(
        self,
        conn_state: Any,
        server: Any,
        exchanges: Exchanges,
        pool: ConnectionPool,
    ) -> None:
        self._exchanges = exchanges
        self._pool = pool
        self._is_open = False
        (host, port), sock = conn_state[0][:2], conn_state[1]
        workload = self._workload = Workload()

        # A method of this object would keep it in a cycle with its holding.
        def on_evict() -> None:
            sock.abort()
            PROCESS_TURNS.cancel(workload)

        self._holding = PROCESS_BUDGET.hold(f"{host}:{port}", on_evict)
        sock.limit_stall(STALL_TIMEOUT_S, self._on_stall)
        pool.add(self._holding)
        try:
            with self._holding:
                self._holding.resize_overhead(CONNECTION_BYTES)
                # Handles the connection until its end.
                super().__init__(conn_state, server)
        finally:
            pool.remove(self._holding)
            # The socket must not keep this object, nor wait for garbage collection.
            sock.limit_stall(None)

    def handle_one_request(self) -> None:
        """Read and answer a request, which counts as open from its first line on."""
        try:
            super().handle_one_request()
        finally:
            # The environment refers to this object. In this cycle, heads and bodies
            # would stay until a full garbage collection.
            self.environ = None
            # An idle connection would hold its last head, which is not counted.
            self.headers = None
            self._holding.end_message()
            self._holding.resize(0)
            self._holding.resize_overhead(CONNECTION_BYTES)
            self._workload.n_units = 0
            if self._is_open:
                self._is_open = False
                self._exchanges.end()

    def parse_request(self) -> bool:
        """Read the rest of the head; see the base class for the result.

        Raises:
            TimeoutError: If the head does not arrive in time.
        """
        self.connection.limit_time(self.head_timeout_s)
        fp: Any = self.rfile
        reader = HeadReader(fp, self._holding, self._workload, self.max_head_bytes)
        self.rfile: Any = reader
        try:
            is_valid: bool = super().parse_request()
        except OversizedMessageError:
            if not self._holding.is_evicted:
                self.wfile.write(LARGE_HEAD_RESPONSE)
            is_valid = False
        except RequestError as exc:
            self.log_message("%s", exc)
            self.wfile.write(BAD_HEAD_RESPONSE)
            is_valid = False
        finally:
            self.connection.limit_time(None)
        if reader.is_cut or not is_valid:
            # The head may lack lines that decide who may send what to whom; after one
            # that is refused, the next bytes can't be parsed reliably.
            self.close_connection = True
            return False
        return True

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the keys that `exchange` defines."""
        environ: dict[str, Any] = super().get_environ()
        environ[HOLDING_KEY] = self._holding
        environ[WORKLOAD_KEY] = self._workload
        environ[CLOSE_CONNECTION_KEY] = self._close_after_response
        # The reader of the base class has no bound on size and time, and takes sizes
        # such as "+0" for the last chunk.
        environ["wsgi.input"].discard = self._discard_body
        return environ

    def _discard_body(self) -> None:
        stream = self.environ["wsgi.input"]
        if not (stream.chunked_input and stream.chunk_length == 0):
            # The connection of a body that can't be read ends.
            with contextlib.suppress(RequestError):
                read_body(self.environ)

    def _on_stall(self) -> None:
        self._exchanges.n_stalled += 1
        logger.bind(
            owner=self._holding.owner, n_bytes=total_bytes(self._holding)
        ).warning("client_stalled")

    def _close_after_response(self) -> None:
        self.close_connection = True

    def _read_request_line(self) -> bytes:
        self.connection.limit_time(self.server.keepalive + self.head_timeout_s)
        line: bytes = super()._read_request_line()
        if line:
            self._is_open = True
            self._pool.use(self._holding)
            self._holding.begin_message()
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
        size: Connections that it may have, None for `max_connections`.

    Attributes:
        exchanges: Its requests that are being read or answered.
        pool: Its connections.
    """

    __slots__ = ("_app", "_protocol", "_sock", "_thread", "exchanges", "pool")

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        *,
        protocol: type[ServerProtocol] = ServerProtocol,
        size: int | None = None,
    ) -> None:
        self._app = _HeadApplication(app)
        self.exchanges = Exchanges()
        self.pool = ConnectionPool(size or max_connections())
        self._protocol = functools.partial(
            protocol, exchanges=self.exchanges, pool=self.pool
        )
        self._sock = listen(address)
        # Accepted sockets inherit the option.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
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
        self.pool.is_stopping = True
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
            custom_pool=self.pool,
            keepalive=IDLE_TIMEOUT_S,
            socket_timeout=SOCKET_TIMEOUT_S,
            debug=False,
            log_format="",
        )


def max_connections(max_descriptors: int | None = None) -> int:
    """Return the limit of connections, from 1 to `MAX_CONNECTIONS`.

    Within that range, it is `CONNECTION_SHARE` of the descriptors that are left after
    `RESERVED_DESCRIPTORS`.

    Args:
        max_descriptors: Descriptors of the process, if fewer than its limit on open
            files; None for that limit.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    bounds = [max_descriptors or soft, soft]
    n_max = min((n for n in bounds if n != resource.RLIM_INFINITY), default=MAX_FILES)
    n_connections = int(CONNECTION_SHARE * (n_max - RESERVED_DESCRIPTORS))
    return max(1, min(MAX_CONNECTIONS, n_connections))


class _EventletLog:
    """The log object of eventlet's server; logs each message at level DEBUG."""

    __slots__ = ()

    def info(self, text: str, *args: object) -> None:
        if text:
            logger.bind(detail=text % args if args else text).debug("http_server")

    debug = info
    error = info
