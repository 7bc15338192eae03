"""Serve a WSGI application on eventlet."""

import resource
from typing import Any

import eventlet
import eventlet.wsgi
import greenlet
from loguru import logger

from ..io import listen

MAX_CONNECTIONS = 10_000
# File descriptors reserved for peers, the platform and the process itself.
RESERVED_DESCRIPTORS = 128
# By default eventlet buffers 4,096 bytes before it sends a chunk, which delays
# tokens by seconds.
MINIMUM_CHUNK_BYTES = 1
IDLE_TIMEOUT_S = 75.0
SOCKET_TIMEOUT_S = 30.0


class ServerProtocol(eventlet.wsgi.HttpProtocol):  # type: ignore[misc]
    """HTTP protocol that bounds the time for a request's head and logs its messages.

    Attributes:
        head_timeout_s: Seconds within which the whole head of a request must arrive,
            in addition to the idle time before it.
    """

    head_timeout_s = SOCKET_TIMEOUT_S

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

    def _read_request_line(self) -> bytes:
        self.connection.limit_time(self.server.keepalive + self.head_timeout_s)
        line: bytes = super()._read_request_line()
        return line

    def log_message(self, format: str, *args: object) -> None:
        """Log a message of the base class, such as the reason of a status 400."""
        self.server.log.debug(format % args)


class HttpServer:
    """An HTTP server that runs a WSGI application in green threads.

    Args:
        address: Address and port to listen on; port 0 picks a free one.
        app: WSGI application.
        protocol: Class that reads requests from and writes answers to a connection.
    """

    __slots__ = ("_app", "_protocol", "_sock", "_thread")

    def __init__(
        self,
        address: tuple[str, int],
        app: Any,
        *,
        protocol: type[Any] = ServerProtocol,
    ) -> None:
        self._app = app
        self._protocol = protocol
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
        """Stop accepting connections; open exchanges continue."""
        eventlet.spawn_n(self._stop)

    def wait(self) -> None:
        """Wait until the server is closed and all exchanges have ended."""
        try:
            self._thread.wait()
        except (greenlet.GreenletExit, OSError):
            return

    def _stop(self) -> None:
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
