"""An engine whose tokens contain the time at which they were emitted."""

import json
import sys
import time
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
from eventlet.queue import LightQueue

from hawthornyard.front import HttpServer
from hawthornyard.io import configure_log


class StampingEngine:
    """Emit one token per step for every stream, the monotonic time in nanoseconds.

    Args:
        step_s: Seconds between steps.
    """

    __slots__ = ("_queues", "_step_s")

    def __init__(self, step_s: float) -> None:
        self._step_s = step_s
        self._queues: dict[str, LightQueue] = {}

    def run(self) -> None:
        """Step forever."""
        due_s = time.monotonic()
        while True:
            due_s += self._step_s
            eventlet.sleep(max(0.0, due_s - time.monotonic()))
            for queue in self._queues.values():
                queue.put(None)

    def app(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Answer /v1/generate, and 404 for all other paths."""
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if environ["PATH_INFO"] != "/v1/generate":
            start("404 Not Found", [("Content-Type", "application/json")])
            return [b"{}"]
        start("200 OK", [("Content-Type", "text/event-stream")])
        return self._events(body["id"], body["max_tokens"])

    def _events(self, stream_id: str, n_tokens: int) -> Iterator[bytes]:
        queue = self._queues[stream_id] = LightQueue()
        try:
            for _ in range(n_tokens):
                queue.get()
                token = json.dumps({"token": f" {time.monotonic_ns()}"})
                yield f"data: {token}\n\n".encode()
            yield b'data: {"finish_reason": "length"}\n\n'
        finally:
            del self._queues[stream_id]


def main(step_s: float) -> None:
    """Serve until killed."""
    configure_log()
    engine = StampingEngine(step_s)
    server = HttpServer(("127.0.0.1", 0), engine.app)
    eventlet.spawn_n(engine.run)
    server.start()
    log_started(server.port)
    server.wait()


def log_started(port: int) -> None:
    """Write the log line that the benchmark waits for."""
    line = {"event": "started", "port": port}
    print(json.dumps(line), file=sys.stderr, flush=True)


if __name__ == "__main__":
    eventlet.monkey_patch()
    main(float(sys.argv[1]))
