"""Stand in for an endpoint of the platform: a model engine or a plain service."""

import hashlib
import json
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet

from ...errors import RecordError
from ...front.exchange import Environ, StartResponse
from ..channel import FAILURES, call_once
from ..fields import decode_object
from ..names import (
    BACKUP,
    COPY_DROP_PATH,
    COPY_PATH,
    COPY_SOURCE,
    EXPECTED_ENDPOINT,
    LAST_EVENT,
    NOT_RUN,
    REPORT_PATH,
    REQUEST_ID,
    SIGNATURE,
    SIZE,
    TEAM,
    TIMEOUT_MS,
)
from .journal import Journal
from .run import Run

BEHAVE_PATH = "/standin/behave"
"""Where trials change what the stand-in does; the platform has no such call."""

COPIES_PATH = "/standin/copies/"
"""Where stand-ins hand copies of runs to one another."""

TOKENS_PER_EVENT = 4
EVENTS_PER_BACKUP = 5
COPY_TIMEOUT_S = 2.0
HANG_S = 30.0

_RESET = struct.pack("ii", 1, 0)


class Behaviour:
    """How a stand-in endpoint behaves.

    Attributes:
        mode: "sound", "failing", "full", "hanging", or "mute" for one that runs
            requests and breaks off without an answer.
        leaves_ms: Milliseconds until it leaves, None if it stays.
    """

    __slots__ = ("leaves_ms", "mode")

    def __init__(self) -> None:
        self.mode = "sound"
        self.leaves_ms: float | None = None


class EndpointStandIn:
    """Run requests, and copy the runs of streams to other stand-ins.

    Args:
        name: Name of the endpoint.
        journal: Told what was run.
        n_slots: Requests that it runs at once.
        step_s: Seconds between events, and that a plain request takes.
        copy_s: Seconds that a copy takes.
    """

    __slots__ = (
        "_born",
        "_copies",
        "_copy_s",
        "_journal",
        "_n_running",
        "_n_slots",
        "_name",
        "_routes",
        "_runs",
        "_step_s",
        "behaviour",
    )

    def __init__(
        self,
        name: str,
        journal: Journal,
        *,
        born: int = 0,
        n_slots: int = 24,
        step_s: float = 0.02,
        copy_s: float = 0.03,
    ) -> None:
        self._name = name
        self._journal = journal
        self._born = born
        self._n_slots = n_slots
        self._step_s = step_s
        self._copy_s = copy_s
        self._runs: dict[str, Run] = {}
        self._copies: dict[str, int] = {}
        self._n_running = 0
        self.behaviour = Behaviour()
        self._routes: dict[str, Callable[[Environ, StartResponse], Iterable[bytes]]] = {
            REPORT_PATH: self._report,
            COPY_PATH: self._copy,
            BEHAVE_PATH: self._behave,
        }

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        path: str = environ["PATH_INFO"]
        route = self._routes.get(path)
        if route is not None:
            return route(environ, start)
        if path.startswith(COPIES_PATH):
            self._copies[path.removeprefix(COPIES_PATH)] = _body(environ)["n_made"]
            return _json(start, "200 OK", {})
        if path.startswith(COPY_DROP_PATH):
            self._copies.pop(path.removeprefix(COPY_DROP_PATH), None)
            return _json(start, "200 OK", {})
        return self._request(environ, start)

    def _request(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        request_id = _header(environ, REQUEST_ID)
        environ["wsgi.input"].read()
        if _header(environ, EXPECTED_ENDPOINT) not in ("", self._name):
            return self._refuse(start, "421 Misdirected Request")
        mode = self.behaviour.mode
        if mode == "full" or self._n_running >= self._n_slots:
            return self._refuse(start, "503 Service Unavailable")
        source = _header(environ, COPY_SOURCE).rpartition("/")[2]
        if source and self._copies.pop(source, None) is None:
            return self._refuse(start, "503 Service Unavailable")
        self._journal.write(
            "run",
            request_id=request_id,
            endpoint=self._name,
            path=environ["PATH_INFO"],
            team=_header(environ, TEAM),
            timeout_ms=_header(environ, TIMEOUT_MS),
            is_resumed=bool(source),
            has_key=bool(environ.get("HTTP_AUTHORIZATION")),
        )
        if mode == "hanging":
            eventlet.sleep(HANG_S)
        if mode == "mute":
            _cut(environ)
            return []
        if mode == "failing":
            return self._whole(start, request_id, "500 Internal Server Error")
        if _header(environ, SIZE):
            return self._stream(environ, start, request_id)
        eventlet.sleep(self._step_s)
        return self._whole(start, request_id, "200 OK")

    def _whole(
        self, start: StartResponse, request_id: str, status: str
    ) -> Iterable[bytes]:
        body = f"{request_id} by {self._name}".encode()
        start(status, [(REQUEST_ID, request_id), (SIGNATURE, sign(request_id, body))])
        self._journal.write("end", request_id=request_id, endpoint=self._name)
        return [body]

    def _stream(
        self, environ: Environ, start: StartResponse, request_id: str
    ) -> Iterator[bytes]:
        n_tokens = int(_header(environ, SIZE).partition(",")[2] or 0)
        last_event = int(_header(environ, LAST_EVENT) or 0)
        run = Run(
            request_id,
            -(-n_tokens // TOKENS_PER_EVENT),
            first=last_event + 1,
            step_s=self._step_s,
        )
        self._runs[request_id] = run
        self._n_running += 1
        start(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                (REQUEST_ID, request_id),
                (SIGNATURE, sign(request_id, b"")),
            ],
        )
        mirror = _header(environ, BACKUP)
        try:
            for data in run.events():
                if mirror and run.n_made % EVENTS_PER_BACKUP == 1:
                    eventlet.spawn_n(self._hand_over, run, mirror, request_id)
                yield data
        finally:
            self._n_running -= 1
            if self._runs.get(request_id) is run:
                del self._runs[request_id]
            self._journal.write(
                "end", request_id=request_id, endpoint=self._name, n_made=run.n_made
            )

    def _copy(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        body = _body(environ)
        run = self._runs.get(body["id"])
        if run is None or not run.has_begun:
            return _json(start, "404 Not Found", {})
        if run.is_copying:
            return _json(start, "409 Conflict", {})
        run.is_copying = True
        run.is_stopped = bool(body["last"])
        eventlet.sleep(self._copy_s)
        run.is_copying = False
        handle = f"{run.request_id}.{run.n_made}"
        if run.is_stopped:
            self._copies[handle] = run.n_made
        if not self._hand_over(run, body["to"], handle):
            kept = {"handle": handle} if run.is_stopped else {}
            return _json(start, "503 Service Unavailable", kept)
        answer = {"handle": handle, "created_rev": run.n_made}
        return _json(start, "200 OK", answer)

    def _hand_over(self, run: Run, address: str, handle: str) -> bool:
        body = json.dumps({"n_made": run.n_made})
        try:
            status, _ = call_once(
                "PUT", address, f"{COPIES_PATH}{handle}", body, COPY_TIMEOUT_S
            )
        except FAILURES as exc:
            self._journal.write("copy_lost", handle=handle, detail=str(exc))
            return False
        return status == 200

    def _report(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        leaves_ms = self.behaviour.leaves_ms
        report: dict[str, Any] = {
            "state": "ready" if leaves_ms is None else "draining",
            "born": self._born,
            "running": self._n_running,
        }
        if leaves_ms is not None:
            report["leaves_ms"] = leaves_ms
        return _json(start, "200 OK", report)

    def _behave(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        body = _body(environ)
        self.behaviour.mode = body.get("mode", self.behaviour.mode)
        self.behaviour.leaves_ms = body.get("leaves_ms", self.behaviour.leaves_ms)
        return _json(start, "200 OK", {})

    def _refuse(self, start: StartResponse, status: str) -> Iterable[bytes]:
        start(status, [(NOT_RUN, "1"), ("Content-Type", "text/plain")])
        return [b""]


def sign(request_id: str, body: bytes) -> str:
    """Return what proves that an answer is an endpoint's own."""
    return hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()[:16]


def _header(environ: Environ, name: str) -> str:
    value: str = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    return value


def _body(environ: Environ) -> dict[str, Any]:
    try:
        return decode_object(environ["wsgi.input"].read())
    except RecordError:
        return {}


def _json(start: StartResponse, status: str, body: Any) -> Iterable[bytes]:
    start(status, [("Content-Type", "application/json")])
    return [json.dumps(body).encode()]


def _cut(environ: Environ) -> None:
    sock = environ["eventlet.input"].get_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.shutdown(socket.SHUT_RDWR)
