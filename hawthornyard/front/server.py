"""Serve a WSGI application on eventlet."""

from typing import Any

import eventlet
import eventlet.wsgi
import greenlet

MAX_CONNECTIONS = 10_000
# eventlet gathers 4,096 bytes by default, which delays tokens by seconds.
MINIMUM_CHUNK_BYTES = 1


class HttpServer:
    """Listen and serve until closed.

    Args:
        address: Address and port to listen on; port 0 picks a free one.
        app: WSGI application.
    """

    __slots__ = ("_app", "_sock", "_thread")

    def __init__(self, address: tuple[str, int], app: Any) -> None:
        self._app = app
        self._sock = eventlet.listen(address, backlog=1024)
        self._thread: Any = None

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        port: int = self._sock.getsockname()[1]
        return port

    def start(self) -> None:
        """Serve in green threads; return at once."""
        self._thread = eventlet.spawn(self._serve)

    def close(self) -> None:
        """Accept no further connection; open exchanges go on."""
        self._sock.close()
        # Its finally clause closes idle connections and waits for the others.
        eventlet.spawn_n(self._thread.kill)

    def wait(self) -> None:
        """Wait until all exchanges have ended."""
        try:
            self._thread.wait()
        except (greenlet.GreenletExit, OSError):
            return

    def _serve(self) -> None:
        eventlet.wsgi.server(
            self._sock,
            self._app,
            log_output=False,
            minimum_chunk_size=MINIMUM_CHUNK_BYTES,
            max_size=MAX_CONNECTIONS,
            debug=False,
        )
