"""A minimal WSGI-to-urllib3 relay, the baseline for the cost of one hop."""

import sys
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
import urllib3

from benchmarks.wire_engine import log_started
from hawthornyard.front import HttpServer
from hawthornyard.io import configure_log


class Relay:
    """Forward each request to one URL and stream the answer back.

    Args:
        url: URL of the engine's generations.
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(maxsize=256)

    def app(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Relay one request."""
        resp = self._pool.request(
            "POST",
            self._url,
            body=environ["wsgi.input"].read(),
            headers={"Content-Type": "application/json"},
            timeout=urllib3.Timeout(connect=1.0, read=30.0),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        start(f"{resp.status} -", [("Content-Type", resp.headers["Content-Type"])])
        return _chunks(resp)


def _chunks(resp: Any) -> Iterator[bytes]:
    yield from resp.stream(None)
    resp.release_conn()


def main(url: str) -> None:
    """Serve until killed."""
    configure_log()
    server = HttpServer(("127.0.0.1", 0), Relay(url).app)
    server.start()
    log_started(server.port)
    server.wait()


if __name__ == "__main__":
    eventlet.monkey_patch()
    main(sys.argv[1])
