"""Stand-in for an endpoint of the platform: a model engine or a plain service."""

import hashlib
import json
import os
import socket
import struct
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet

from ...errors import RecordError
from ...front.exchange import Environ, StartResponse
from ...io.endpoint_calls import CALL_ERRORS, call_once
from ..fields import decode_object
from ..names import (
    BACKUP_HEADER,
    COPY_DROP_PATH,
    COPY_PATH,
    COPY_SOURCE_HEADER,
    EXPECTED_ENDPOINT_HEADER,
    LAST_EVENT_ID_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    PROMPT_PREFIX_HEADER,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    TEAM_HEADER,
    TIMEOUT_MS_HEADER,
    TOKEN_COUNTS_HEADER,
)
from .journal import Journal
from .run import Run, format_event

BEHAVIOUR_PATH = "/standin/behave"
"""Path on which tests set the stand-in's behaviour; the platform has no such call."""

COPY_UPLOAD_PATH = "/standin/copies/"
"""Path prefix on which a stand-in receives copies of runs from other stand-ins."""

TOKENS_PER_EVENT = 4
EVENTS_PER_BACKUP = 5
COPY_TIMEOUT_S = 2.0
HANG_DURATION_S = 30.0

DEADLY_PART_STATUS = 86
"""Exit status of a stand-in that a part of a prompt has ended."""

DEADLY_ENDS = ("close", "reset", "mute", "event")
"""How a stand-in ends on the deadly part: after the head of the answer, which "reset"
discards unread; without any answer; or some time after the first event."""

DEADLY_EVENT_DELAY_S = 0.3
"""Time from the first event to the end of the process, for the end "event"."""

# SO_LINGER enabled with a timeout of 0 s: closing the socket sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)


class Behaviour:
    """Behaviour of a stand-in endpoint, which tests can change.

    Attributes:
        mode: "sound"; "failing" to answer with status 500; "full" to refuse requests;
            "hanging" to wait `HANG_DURATION_S` before it answers; or "mute" to run
            requests and then reset the connection without an answer.
        leaves_ms: Milliseconds until the endpoint leaves, None if it stays.
    """

    __slots__ = ("leaves_ms", "mode")

    def __init__(self) -> None:
        self.mode = "sound"
        self.leaves_ms: float | None = None


class EndpointStandIn:
    """WSGI application that runs requests and copies streams to other stand-ins.

    Args:
        name: Name of the endpoint.
        journal: Records what was run.
        born: Incarnation that it reports, in Unix milliseconds.
        n_slots: Number of streams that may run at once.
        step_s: Seconds between events, and duration of a plain request.
        copy_s: Duration of a copy in seconds.
        deadly_part: Part of prompts, not the last, that ends this process as it begins
            the answer; empty for none.
        deadly_end: How the process ends then, one of `DEADLY_ENDS`.

    Raises:
        ValueError: If `deadly_end` is none of `DEADLY_ENDS`.
    """

    __slots__ = (
        "_born",
        "_copies",
        "_copy_s",
        "_deadly_end",
        "_deadly_part",
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
        deadly_part: str = "",
        deadly_end: str = "close",
    ) -> None:
        if deadly_end not in DEADLY_ENDS:
            allowed = ", ".join(DEADLY_ENDS)
            raise ValueError(f"deadly_end is {deadly_end!r}, expected one of {allowed}")
        self._name = name
        self._journal = journal
        self._born = born
        self._n_slots = n_slots
        self._step_s = step_s
        self._copy_s = copy_s
        self._deadly_part = deadly_part
        self._deadly_end = deadly_end
        self._runs: dict[str, Run] = {}
        # Number of the newest event in each copy held here, by handle.
        self._copies: dict[str, int] = {}
        self._n_running = 0
        self.behaviour = Behaviour()
        self._routes: dict[str, Callable[[Environ, StartResponse], Iterable[bytes]]] = {
            REPORT_PATH: self._answer_report,
            COPY_PATH: self._copy_run,
            BEHAVIOUR_PATH: self._set_behaviour,
        }

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if self.behaviour.leaves_ms is not None:
            start = _announce_leaving(start)
        path: str = environ["PATH_INFO"]
        route = self._routes.get(path)
        if route is not None:
            return route(environ, start)
        if path.startswith(COPY_UPLOAD_PATH):
            self._copies[path.removeprefix(COPY_UPLOAD_PATH)] = _json_body(environ)[
                "n_made"
            ]
            return _answer_json(start, "200 OK", {})
        if path.startswith(COPY_DROP_PATH):
            self._copies.pop(path.removeprefix(COPY_DROP_PATH), None)
            return _answer_json(start, "200 OK", {})
        return self._run_request(environ, start)

    def _run_request(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        request_id = _header(environ, REQUEST_ID_HEADER)
        environ["wsgi.input"].read()
        if _header(environ, EXPECTED_ENDPOINT_HEADER) not in ("", self._name):
            return self._refuse(start, request_id, "421 Misdirected Request")
        mode = self.behaviour.mode
        if mode == "full" or self._n_running >= self._n_slots:
            return self._refuse(start, request_id, "503 Service Unavailable")
        source = _header(environ, COPY_SOURCE_HEADER).rpartition("/")[2]
        if source and self._copies.pop(source, None) is None:
            return self._refuse(start, request_id, "503 Service Unavailable")
        self._journal.write(
            "run",
            request_id=request_id,
            endpoint=self._name,
            path=environ["PATH_INFO"],
            team=_header(environ, TEAM_HEADER),
            timeout_ms=_header(environ, TIMEOUT_MS_HEADER),
            is_resumed=bool(source),
            has_key=bool(environ.get("HTTP_AUTHORIZATION")),
        )
        if mode == "hanging":
            eventlet.sleep(HANG_DURATION_S)
        if mode == "mute":
            _reset_connection(environ)
            return []
        if mode == "failing":
            return self._answer_plain(start, request_id, "500 Internal Server Error")
        if _header(environ, TOKEN_COUNTS_HEADER):
            return self._answer_stream(environ, start, request_id)
        eventlet.sleep(self._step_s)
        return self._answer_plain(start, request_id, "200 OK")

    def _answer_plain(
        self, start: StartResponse, request_id: str, status: str
    ) -> Iterable[bytes]:
        body = f"{request_id} by {self._name}".encode()
        start(
            status,
            [
                (REQUEST_ID_HEADER, request_id),
                (SIGNATURE_HEADER, sign(request_id, body)),
            ],
        )
        self._journal.write("end", request_id=request_id, endpoint=self._name)
        return [body]

    def _answer_stream(
        self, environ: Environ, start: StartResponse, request_id: str
    ) -> Iterator[bytes]:
        n_tokens = int(_header(environ, TOKEN_COUNTS_HEADER).partition(",")[2] or 0)
        last_event = int(_header(environ, LAST_EVENT_ID_HEADER) or 0)
        run = Run(
            request_id,
            -(-n_tokens // TOKENS_PER_EVENT),
            first_event=last_event + 1,
            step_s=self._step_s,
        )
        if self._deadly_part and self._deadly_part in _shared_parts(environ):
            _end_process(environ, request_id, self._deadly_end)
        self._runs[request_id] = run
        self._n_running += 1
        start(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                (REQUEST_ID_HEADER, request_id),
                (SIGNATURE_HEADER, sign(request_id, b"")),
            ],
        )
        backup_address = _header(environ, BACKUP_HEADER)
        try:
            for data in run.events():
                if backup_address and run.n_made % EVENTS_PER_BACKUP == 1:
                    eventlet.spawn_n(self._send_copy, run, backup_address, request_id)
                yield data
        finally:
            self._n_running -= 1
            if self._runs.get(request_id) is run:
                del self._runs[request_id]
            self._journal.write(
                "end", request_id=request_id, endpoint=self._name, n_made=run.n_made
            )

    def _copy_run(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        body = _json_body(environ)
        run = self._runs.get(body["id"])
        if run is None or not run.has_events:
            return _answer_json(start, "404 Not Found", {})
        if run.is_copying:
            return _answer_json(start, "409 Conflict", {})
        run.is_copying = True
        run.is_stopped = bool(body["last"])
        eventlet.sleep(self._copy_s)
        run.is_copying = False
        handle = f"{run.request_id}.{run.n_made}"
        if run.is_stopped:
            self._copies[handle] = run.n_made
        if not self._send_copy(run, body["to"], handle):
            kept = {"handle": handle} if run.is_stopped else {}
            return _answer_json(start, "503 Service Unavailable", kept)
        answer = {"handle": handle, "created_rev": run.n_made}
        return _answer_json(start, "200 OK", answer)

    def _send_copy(self, run: Run, address: str, handle: str) -> bool:
        body = json.dumps({"n_made": run.n_made})
        try:
            answer = call_once(
                "PUT", address, f"{COPY_UPLOAD_PATH}{handle}", body, COPY_TIMEOUT_S
            )
        except CALL_ERRORS as exc:
            self._journal.write("copy_lost", handle=handle, detail=str(exc))
            return False
        return answer.status == 200

    def _answer_report(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        leaves_ms = self.behaviour.leaves_ms
        report: dict[str, Any] = {
            "state": "ready" if leaves_ms is None else "draining",
            "born": self._born,
            "running": self._n_running,
        }
        if leaves_ms is not None:
            report["leaves_ms"] = leaves_ms
        return _answer_json(start, "200 OK", report)

    def _set_behaviour(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        body = _json_body(environ)
        self.behaviour.mode = body.get("mode", self.behaviour.mode)
        self.behaviour.leaves_ms = body.get("leaves_ms", self.behaviour.leaves_ms)
        return _answer_json(start, "200 OK", {})

    def _refuse(
        self, start: StartResponse, request_id: str, status: str
    ) -> Iterable[bytes]:
        start(
            status,
            [
                (NOT_RUN_HEADER, "1"),
                (REQUEST_ID_HEADER, request_id),
                ("Content-Type", "text/plain"),
            ],
        )
        return [b""]


def sign(request_id: str, body: bytes) -> str:
    """Return the signature that marks a response as an endpoint's own."""
    return hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()[:16]


def _header(environ: Environ, name: str) -> str:
    value: str = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    return value


def _announce_leaving(start: StartResponse) -> StartResponse:
    return lambda status, headers, *args: start(
        status, [*headers, (LEAVING_HEADER, "1")], *args
    )


def _shared_parts(environ: Environ) -> list[str]:
    parts = _header(environ, PROMPT_PREFIX_HEADER).split(",")
    return [part.partition(":")[0].strip() for part in parts[:-1]]


def _end_process(environ: Environ, request_id: str, how: str) -> None:
    sock = environ["eventlet.input"].get_socket()
    if how != "mute":
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{REQUEST_ID_HEADER}: {request_id}\r\n"
            f"{SIGNATURE_HEADER}: {sign(request_id, b'')}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
    if how == "event":
        event = format_event(request_id, 1)
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        eventlet.sleep(DEADLY_EVENT_DELAY_S)
    if how == "reset":
        # A peer that has not read the head yet never gets it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    os._exit(DEADLY_PART_STATUS)


def _json_body(environ: Environ) -> dict[str, Any]:
    try:
        return decode_object(environ["wsgi.input"].read())
    except RecordError:
        return {}


def _answer_json(start: StartResponse, status: str, body: Any) -> Iterable[bytes]:
    start(status, [("Content-Type", "application/json")])
    return [json.dumps(body).encode()]


def _reset_connection(environ: Environ) -> None:
    sock = environ["eventlet.input"].get_socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    sock.shutdown(socket.SHUT_RDWR)
