"""Engines whose streams have neither length nor chunks, before a gateway process."""

import contextlib
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import eventlet

from features.support.gateway_process import GatewayProcess
from features.support.platform_bytes import AUTH, CLOSE, HOST, SIGNATURE_HEADERS, event
from features.support.scripted import read_message
from hawthornyard.platform.names import (
    COPY_DROP_PATH,
    COPY_PATH,
    COPY_SOURCE_HEADER,
    LAST_EVENT_ID_HEADER,
    PROMPT_PREFIX_HEADER,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    TIMEOUT_MS_HEADER,
    TOKEN_COUNTS_HEADER,
)
from soak.deployment import operator_config
from soak.loopback import LOOPBACK

KEY = "key-of-kiosk"
N_STREAMS = 10
N_EVENTS = 150
STEP_S = 0.02
N_FIRST_EVENTS = 5
"""Events of each stream after which all have begun."""
COPY_S = 0.02
CLOSE_DELAY_S = 0.15
"""Time from the end of an order's connection to that of the stream that it stopped."""
ANSWER_TIMEOUT_S = 25.0
LAST_CHUNK = b"\r\n0\r\n\r\n"

_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + SIGNATURE_HEADERS
)


class Run:
    """A stream that an engine generates.

    Attributes:
        n_made: Number of the newest event.
        is_stopped: Whether it was stopped for its final copy.
        is_unpaced: Whether the rest of it is made without pauses.
    """

    __slots__ = ("is_unpaced", "is_stopped", "n_made")

    def __init__(self, n_made: int) -> None:
        self.n_made = n_made
        self.is_stopped = False
        self.is_unpaced = False


class UndelimitedEngine:
    """An engine that answers orders of final copies as a test says.

    Args:
        copies: Newest event of each copy by handle, which all engines share.

    Attributes:
        born: Incarnation that it reports.
        answers: How it answers the orders of final copies of a run, in order; the last
            one is repeated.
        runs: Runs in progress by request identifier.
    """

    __slots__ = (
        "_answerers",
        "_copies",
        "_n_orders",
        "_sock",
        "answers",
        "born",
        "runs",
    )

    def __init__(self, copies: dict[str, int]) -> None:
        self.born = 1
        self.answers = ["soundly"]
        self.runs: dict[str, Run] = {}
        self._copies = copies
        self._n_orders: dict[str, int] = {}
        self._answerers: dict[str, Callable[[Any, str, Run], None]] = {
            "soundly": self._answer_soundly,
            "not at all": self._answer_nothing,
            "never": self._answer_never,
            "unreadably": self._answer_unreadably,
            "with 503 and no handle": self._refuse,
            "with 409": self._answer_in_progress,
            "with 404 as the run has finished": self._finish_run,
            "with 404 as another process": self._answer_as_another_process,
        }
        self._sock = eventlet.listen((LOOPBACK, 0))
        eventlet.spawn_n(self._accept)

    @property
    def address(self) -> str:
        """Return the address and port."""
        return f"{LOOPBACK}:{self._sock.getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self._sock.close()

    def restart(self) -> None:
        """Answer as a process that is started anew; the runs of the old one end."""
        self.born += 1
        self.end_runs()

    def end_runs(self) -> None:
        """Close all streams without their ends."""
        for run in self.runs.values():
            run.is_stopped = True
        self.runs.clear()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._sock.accept()
                eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        try:
            self._answer(sock, read_message(sock))
        except OSError:
            pass
        finally:
            sock.close()

    def _answer(self, sock: Any, request: bytes) -> None:
        path = request.split(b" ", 2)[1].decode()
        if path == REPORT_PATH:
            _send_json(sock, "200 OK", {"state": "ready", "born": self.born})
        elif path == COPY_PATH:
            self._copy(sock, json.loads(request.partition(b"\r\n\r\n")[2]))
        elif path.startswith(COPY_DROP_PATH):
            self._copies.pop(path.removeprefix(COPY_DROP_PATH), None)
            _send_json(sock, "200 OK", {})
        else:
            self._stream(sock, _headers(request))

    def _stream(self, sock: Any, headers: dict[str, str]) -> None:
        request_id = headers[REQUEST_ID_HEADER.lower()]
        first = 1
        source = headers.get(COPY_SOURCE_HEADER.lower(), "").rpartition("/")[2]
        if source:
            if self._copies.pop(source, None) is None:
                _send_json(sock, "503 Service Unavailable", {})
                return
            first = int(headers[LAST_EVENT_ID_HEADER.lower()]) + 1
        run = self.runs[request_id] = Run(first - 1)
        deadline = time.monotonic() + int(headers[TIMEOUT_MS_HEADER.lower()]) / 1000
        sock.sendall(_STREAM_HEAD.replace(b"{id}", request_id.encode()) + b"\r\n")
        while run.n_made < N_EVENTS and not run.is_stopped:
            if not run.is_unpaced:
                eventlet.sleep(STEP_S)
            if time.monotonic() >= deadline:
                run.is_stopped = True
            if not run.is_stopped:
                run.n_made += 1
                sock.sendall(event(run.n_made))
        if run.is_stopped and time.monotonic() < deadline:
            eventlet.sleep(CLOSE_DELAY_S)
        else:
            self.runs.pop(request_id, None)

    def _copy(self, sock: Any, body: dict[str, Any]) -> None:
        run = self.runs.get(body["id"])
        if run is None:
            _send_json(sock, "404 Not Found", {})
            return
        if not body["last"]:
            eventlet.sleep(COPY_S)
            handle = f"{body['id']}.running"
            self._copies[handle] = run.n_made
            _send_json(sock, "200 OK", {"handle": handle, "created_rev": run.n_made})
            return
        n_before = self._n_orders.get(body["id"], 0)
        self._n_orders[body["id"]] = n_before + 1
        answer = self.answers[min(n_before, len(self.answers) - 1)]
        self._answerers[answer](sock, body["id"], run)

    def _answer_soundly(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True
        eventlet.sleep(COPY_S)
        handle = f"{request_id}.{run.n_made}"
        self._copies[handle] = run.n_made
        _send_json(sock, "200 OK", {"handle": handle, "created_rev": run.n_made})

    def _answer_nothing(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True

    def _answer_never(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True
        sock.recv(1)

    def _answer_unreadably(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"handle"')

    def _refuse(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True
        _send_json(sock, "503 Service Unavailable", {})

    def _answer_in_progress(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_stopped = True
        _send_json(sock, "409 Conflict", {})

    def _finish_run(self, sock: Any, request_id: str, run: Run) -> None:
        run.is_unpaced = True
        while request_id in self.runs:
            eventlet.sleep(STEP_S)
        _send_json(sock, "404 Not Found", {})

    def _answer_as_another_process(self, sock: Any, request_id: str, run: Run) -> None:
        self.restart()
        _send_json(sock, "404 Not Found", {})


class UndelimitedWorld:
    """A gateway process, an engine that will leave, and one that takes its streams.

    Attributes:
        answers: What each client got.
        deadline_ms: Deadline that the clients name.
        first: The engine that runs the streams until it leaves.
        second: The other engine.
        gateway: The gateway process.
    """

    __slots__ = ("_threads", "answers", "deadline_ms", "first", "gateway", "second")

    def __init__(self, folder: Path) -> None:
        self.answers: list[bytes] = []
        self.deadline_ms = 20_000
        self._threads: list[Any] = []
        copies: dict[str, int] = {}
        self.first = UndelimitedEngine(copies)
        self.second = UndelimitedEngine(copies)
        self.gateway = GatewayProcess(
            folder, operator_config(7, keys={KEY}, removed_kinds=set())
        )
        self._add_entry("engine-a", self.first)
        self.gateway.start()

    def _add_entry(self, name: str, engine: UndelimitedEngine, **fields: Any) -> None:
        entry = {"service": "scribe", "slots": 24, "born": engine.born, **fields}
        self.gateway.add_entry(name, engine.address, **entry)

    def begin_streams(self) -> None:
        """Start the streams and wait until all have begun."""
        for index in range(N_STREAMS):
            self._threads.append(eventlet.spawn(self._read_stream, index))
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            while not self._have_begun():
                eventlet.sleep(STEP_S)

    def _have_begun(self) -> bool:
        runs = self.first.runs.values()
        return sum(run.n_made >= N_FIRST_EVENTS for run in runs) == N_STREAMS

    def drain_first(self) -> None:
        """Add the second engine and let the first one announce that it leaves."""
        self._add_entry("engine-b", self.second)
        eventlet.sleep(0.3)
        self._add_entry("engine-a", self.first, state="draining")

    def wait(self) -> None:
        """Wait for the ends of all streams."""
        for thread in self._threads:
            self.answers.append(thread.wait())

    def close(self) -> None:
        """End the gateway and the engines."""
        self.gateway.close()
        self.first.close()
        self.second.close()

    def _read_stream(self, index: int) -> bytes:
        headers = [
            f"{REQUEST_ID_HEADER}: r-{index}",
            f"{TIMEOUT_MS_HEADER}: {self.deadline_ms}",
            f"{TOKEN_COUNTS_HEADER}: 100,{4 * N_EVENTS}",
            f"{PROMPT_PREFIX_HEADER}: {index:x}:100",
            "X-Hawthornyard-Model: m",
        ]
        head = "\r\n".join(headers).encode() + b"\r\n"
        sock = eventlet.connect((LOOPBACK, self.gateway.port))
        received = b""
        try:
            sock.sendall(b"GET /summary/1 HTTP/1.1\r\n" + HOST + AUTH + CLOSE)
            sock.sendall(head + b"\r\n")
            with (
                eventlet.Timeout(ANSWER_TIMEOUT_S, False),
                contextlib.suppress(OSError),
            ):
                while data := sock.recv(65536):
                    received += data
        finally:
            sock.close()
        return received


def n_events_in(answer: bytes) -> int:
    """Return the number of events in an answer, -1 if they are not in order."""
    n_found = answer.count(b"id: ")
    position = -1
    for number in range(1, n_found + 1):
        position = answer.find(b"id: %d\n" % number, position + 1)
        if position < 0:
            return -1
    return n_found


def _headers(request: bytes) -> dict[str, str]:
    lines = request.partition(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}


def _send_json(sock: Any, status: str, body: dict[str, Any]) -> None:
    data = json.dumps(body).encode()
    not_run = "X-Hawthornyard-Not-Executed: 1\r\n" if status.startswith("503") else ""
    head = f"HTTP/1.1 {status}\r\n{not_run}Content-Length: {len(data)}\r\n\r\n"
    sock.sendall(head.encode() + data)
