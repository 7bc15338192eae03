"""Stand-ins and clients for the cases of this review.

A case runs the gateways of `deploy/system.toml` as processes, and around them, in its
own process, a store, model runners, plain runners and clients. All of them listen on
loopback addresses with free ports. The store is the project's own stand-in.
"""

import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import eventlet
import eventlet.wsgi
from eventlet.semaphore import Semaphore

from hawthornyard.platform.standins import PlatformStoreApp

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "kiosk.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
ID_HEADER = "X-Hawthornyard-Request-Id"
SEAL_HEADER = "X-Hawthornyard-Response-Seal"
NOT_RUN_HEADER = "X-Hawthornyard-Not-Executed"
START_TIMEOUT_S = 20.0
BODY = b"hello"
TOKENS_PER_EVENT = 4
COPY_S = 0.05
RESTART_DELAY_S = 1.0
N_QUEUED = 8
CUT_EVENT = 2

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""


def is_troubled() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free, outside the range of outgoing connections."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as other:
            try:
                stream.bind((LOOPBACK, port))
                other.bind((LOOPBACK, port))
            except OSError:
                continue
            return port


class Record:
    """Record of what was sent, answered and run, as JSON lines.

    Args:
        path: File to write.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **fields: Any) -> None:
        """Append one event."""
        line = {"at": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def conclude(self, text: str) -> None:
        """Append the result and print it."""
        self.write("result", text=text)
        print(text, flush=True)


class Head:
    """Head of an HTTP message.

    Attributes:
        first_line: Request or status line.
        headers: Values by lower-case name.
    """

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.first_line = lines[0]
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}

    def get(self, name: str) -> str:
        """Return a header, empty if it is absent."""
        return self.headers.get(name.lower(), "")


class Reader:
    """Buffered reader of a socket."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._buffer = b""

    def until(self, end: bytes) -> bytes:
        """Return the bytes before `end`, which is skipped.

        Raises:
            EOFError: If the peer closes the connection before.
        """
        while end not in self._buffer:
            self._fill()
        data, _, self._buffer = self._buffer.partition(end)
        return data

    def exactly(self, n_bytes: int) -> bytes:
        """Return a number of bytes.

        Raises:
            EOFError: If the peer closes the connection before.
        """
        while len(self._buffer) < n_bytes:
            self._fill()
        data, self._buffer = self._buffer[:n_bytes], self._buffer[n_bytes:]
        return data

    def _fill(self) -> None:
        data = self._sock.recv(65_536)
        if not data:
            raise EOFError("the connection was closed")
        self._buffer += data


class Arrival:
    """A request that has reached a runner.

    Attributes:
        request_id: Its id.
        runner: Id of the runner.
        at: Seconds since the start of the record.
        is_resumed: Whether it goes on from a copy of another runner's run.
        worked_until: When the runner last made an event of its stream.
        is_spoiled: Whether the runner spoiled its answer.
    """

    def __init__(self, request_id: str, runner: str, at: float) -> None:
        self.request_id = request_id
        self.runner = runner
        self.at = at
        self.is_resumed = False
        self.worked_until = at
        self.is_spoiled = False


Spoiler = Callable[["Runner", Any, Head], bool]


class Runner:
    """A runner: a model runner if it has a token step, else a plain one.

    Args:
        world: The deployment that it belongs to.
        name: Its id in the store.
        service: Its service.
        zone: Its zone.
        work_s: Seconds for a plain request, or until the first event of a stream.
        step_s: Seconds between the events of a stream.
        spoil: Called with the runner, the connection and the head of each request that
            it is about to run; returns True if it has dealt with the request wrongly.
        spoil_event: Called with the number of each event that it is about to write;
            returns the bytes to write instead, empty to write the event.
        drops: Whether it drops a request when its channel closes, as most runners do.
        n_slots: Requests that it runs at once; a few more wait.
        cut: Called before the second event of each stream; returns after how many bytes
            of its chunk the runner closes the channel, None to go on.
        size_format: Format of the sizes of chunks.
    """

    def __init__(
        self,
        world: "World",
        name: str,
        service: str,
        zone: str,
        *,
        work_s: float = 0.045,
        step_s: float = 0.03,
        spoil: Spoiler | None = None,
        spoil_event: Callable[[int], bytes] | None = None,
        drops: bool = True,
        n_slots: int = 24,
        cut: Callable[[], int | None] | None = None,
        size_format: bytes = b"%x",
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self._world = world
        self._work_s = work_s
        self._step_s = step_s
        self._spoil = spoil
        self._spoil_event = spoil_event
        self._drops = drops
        self._n_slots = n_slots
        self._cut = cut
        self._size_format = size_format
        self._n_held = 0
        self._slots = Semaphore(n_slots)
        # Number of the newest event of each run, by the request's id.
        self._runs: dict[str, int] = {}
        self._stopped: set[str] = set()
        self._born = int(time.time() * 1000)
        self._listener = eventlet.listen((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        eventlet.spawn_n(self._accept)

    def publish(self) -> None:
        """Write its entry to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": self._n_slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self._born,
        }
        self._world.store.put("servers", self.name, entry)
        self._world.record.write("runner", name=self.name)

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        reader = Reader(sock)
        try:
            while True:
                head = Head(reader.until(b"\r\n\r\n"))
                body = reader.exactly(int(head.get("Content-Length") or 0))
                self._answer(sock, head, body)
        except (OSError, EOFError):
            # The gateway has closed the channel; the runner drops the request.
            return
        finally:
            sock.close()

    def _answer(self, sock: Any, head: Head, body: bytes) -> None:
        target = head.first_line.split(" ")[1]
        if target == "/health":
            lines = [f"X-Hawthornyard-Instance-Id: {self.name}"]
            self._send(sock, "200 OK", lines, b"")
            return
        if target == "/report":
            report = {"state": "ready", "born": self._born, "running": 0, "runs": []}
            self._send_json(sock, "200 OK", report)
            return
        if target == "/kv-move":
            self._move(sock, json.loads(body))
            return
        if target.startswith("/kv-"):
            self._send(sock, "404 Not Found", [], b"")
            return
        request_id = head.get(ID_HEADER)
        if head.get("X-Hawthornyard-Expect-Instance") not in ("", self.name):
            lines = [f"{ID_HEADER}: {request_id}", f"{NOT_RUN_HEADER}: 1"]
            self._send(sock, "421 Misdirected Request", lines, b"")
            return
        source = head.get("Kv-From")
        copy = (self.address, source.rpartition("/")[2])
        if source and copy not in self._world.copies:
            lines = [f"{ID_HEADER}: {request_id}", f"{NOT_RUN_HEADER}: 1"]
            self._send(sock, "503 Service Unavailable", lines, b"")
            return
        self._world.copies.discard(copy)
        if self._n_held >= self._n_slots + N_QUEUED:
            lines = [f"{ID_HEADER}: {request_id}", f"{NOT_RUN_HEADER}: 1"]
            self._send(sock, "503 Service Unavailable", lines, b"")
            return
        self._n_held += 1
        try:
            with self._slots:
                self._run(sock, head, request_id, bool(source))
        finally:
            self._n_held -= 1

    def _run(self, sock: Any, head: Head, request_id: str, is_resumed: bool) -> None:
        method, target, _ = head.first_line.split(" ", 2)
        arrival = Arrival(request_id, self.name, self._world.record.now())
        arrival.is_resumed = is_resumed
        self._world.arrivals.append(arrival)
        self._world.record.write(
            "run", request_id=request_id, runner=self.name, resumed=arrival.is_resumed
        )
        if self._spoil is not None and self._spoil(self, sock, head):
            arrival.is_spoiled = True
            return
        if head.get("X-Hawthornyard-Token-Usage"):
            self._stream(sock, head, arrival)
        else:
            eventlet.sleep(self._work_s)
            answer = f"{method} {target} {request_id}".encode()
            lines = [f"{ID_HEADER}: {request_id}"]
            lines.append(f"{SEAL_HEADER}: {seal(request_id, answer)}")
            self._send(sock, "200 OK", lines, answer)

    def _move(self, sock: Any, order: dict[str, Any]) -> None:
        # Copies a run to another runner, and stops it first if that is asked for.
        n_made = self._runs.get(order["id"])
        if n_made is None:
            self._send_json(sock, "404 Not Found", {})
            return
        if order.get("last"):
            self._stopped.add(order["id"])
        eventlet.sleep(COPY_S)
        handle = f"{order['id']}.{n_made}"
        self._world.copies.add((order["to"], handle))
        self._send_json(sock, "200 OK", {"handle": handle, "created_rev": n_made})

    def _send_json(self, sock: Any, status: str, value: dict[str, Any]) -> None:
        data = json.dumps(value).encode()
        self._send(sock, status, ["Content-Type: application/json"], data)

    def _stream(self, sock: Any, head: Head, arrival: Arrival) -> None:
        request_id = arrival.request_id
        n_tokens = int(head.get("X-Hawthornyard-Token-Usage").partition(",")[2])
        first = int(head.get("Last-Event-Id") or 0) + 1
        mirror = head.get("X-Hawthornyard-Kv-Backup")
        eventlet.sleep(0.0 if arrival.is_resumed else self._work_s)
        is_open = True
        try:
            sock.sendall(stream_head(request_id))
            for number in range(first, -(-n_tokens // TOKENS_PER_EVENT) + 1):
                if request_id in self._stopped:
                    raise EOFError("the run was stopped")
                self._runs[request_id] = number
                if mirror:
                    self._world.copies.add((mirror, request_id))
                data = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
                if self._spoil_event is not None:
                    data = self._spoil_event(number) or data
                if self._cut is not None and number == CUT_EVENT:
                    n_bytes = self._cut()
                    if n_bytes is not None:
                        sock.sendall(self._frame(data)[:n_bytes])
                        raise EOFError("the answer is broken off")
                if is_open:
                    is_open = self._write_chunk(sock, data)
                arrival.worked_until = self._world.record.now()
                eventlet.sleep(self._step_s)
        finally:
            self._runs.pop(request_id, None)
            self._world.record.write(
                "end",
                request_id=request_id,
                runner=self.name,
                worked_until=arrival.worked_until,
            )
        sock.sendall(b"0\r\n\r\n")

    def _frame(self, data: bytes) -> bytes:
        return self._size_format % len(data) + b"\r\n" + data + b"\r\n"

    def _write_chunk(self, sock: Any, data: bytes) -> bool:
        # Returns False if the channel is closed and the runner goes on all the same.
        try:
            sock.sendall(self._frame(data))
        except OSError:
            if self._drops:
                raise
            return False
        return True

    def _send(self, sock: Any, status: str, lines: list[str], body: bytes) -> None:
        text = "\r\n".join([f"HTTP/1.1 {status}", *lines])
        head = f"{text}\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)


def seal(request_id: str, body: bytes) -> str:
    """Return the receipt that marks an answer as a runner's own."""
    return hashlib.sha256(request_id.encode() + b"\0" + body).hexdigest()[:16]


def stream_head(request_id: str) -> bytes:
    """Return the head of a sound stream in chunks."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{ID_HEADER}: {request_id}\r\n{SEAL_HEADER}: {seal(request_id, b'')}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


class Outcome:
    """What a client got for one request.

    Attributes:
        request_id: Id of the request.
        gateway: Name of the gateway.
        kind: Name of the kind of request.
        is_kept: Whether the channel had served a request before.
        sent_at: When it was sent, in seconds since the start of the record.
        ended_at: When its answer was complete or the client gave up.
        status: Status of the answer, 0 for none.
        is_whole: Whether the answer is complete.
        end: "whole", "closed" or "gave up".
        body: Bytes of the answer's body.
    """

    def __init__(self, request_id: str, gateway: str, kind: str, is_kept: bool) -> None:
        self.request_id = request_id
        self.gateway = gateway
        self.kind = kind
        self.is_kept = is_kept
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.is_whole = False
        self.end = ""
        self.body = b""


class Kind:
    """A kind of request that clients send.

    Args:
        name: Name and path prefix of its route.
        route_kind: `kind` of the route.
        service: Service of the route.
        budget_s: Time budget of the clients.
        timeout_s: `timeout_ms` of the route, in seconds.
        target_s: `target_latency_ms` of the route, in seconds.
        n_tokens: Output tokens of a stream, 0 for a plain request.
        n_prompt_tokens: Prompt tokens of a stream.
    """

    def __init__(
        self,
        name: str,
        route_kind: str,
        service: str,
        *,
        budget_s: float,
        timeout_s: float,
        target_s: float,
        n_tokens: int = 0,
        n_prompt_tokens: int = 1460,
    ) -> None:
        self.name = name
        self.route_kind = route_kind
        self.service = service
        self.budget_s = budget_s
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.n_tokens = n_tokens
        self.n_prompt_tokens = n_prompt_tokens

    def route(self) -> dict[str, Any]:
        """Return its route as the operator writes it."""
        return {
            "name": f"r-{self.name}",
            "host": HOST,
            "prefix": f"/{self.name}/",
            "kind": self.route_kind,
            "timeout_ms": int(self.timeout_s * 1000),
            "target_latency_ms": int(self.target_s * 1000),
            "priority": 1,
            "service": self.service,
            "max_attempts": 2 if self.route_kind == "idempotent" else 1,
            "public": False,
            "session_affinity": bool(self.n_tokens),
            "resumable": False,
            "gap_aim_ms": 180 if self.n_tokens else 0,
        }


class Client:
    """A client that keeps its channel for many requests.

    Args:
        world: The deployment.
        name: Its name, with which its request ids begin.
        gateway: The gateway that it connects to.
    """

    def __init__(self, world: "World", name: str, gateway: "Gateway") -> None:
        self._world = world
        self._name = name
        self._gateway = gateway
        self._sock: Any = None
        self._reader: Any = None
        self._n_sent = 0
        self._is_kept = False

    def ask(self, kind: Kind, *, wait_s: float | None = None) -> Outcome:
        """Send one request and return what came of it.

        Args:
            kind: Kind of the request.
            wait_s: Seconds after which the client leaves, its time budget if None.

        Raises:
            ValueError: If what comes back is no answer.
        """
        self._n_sent += 1
        request_id = f"{self._name}-{self._n_sent}"
        outcome = Outcome(request_id, self._gateway.name, kind.name, self._is_kept)
        outcome.sent_at = self._world.record.now()
        self._world.outcomes.append(outcome)
        try:
            with eventlet.Timeout(wait_s or kind.budget_s):
                self._exchange(outcome, kind)
                outcome.end = "whole"
                outcome.is_whole = True
        except eventlet.Timeout:
            outcome.end = "gave up"
        except (OSError, EOFError):
            outcome.end = "closed"
        outcome.ended_at = self._world.record.now()
        self._is_kept = outcome.is_whole and self._sock is not None
        if not outcome.is_whole:
            self.close()
        self._world.record.write(
            "answer",
            request_id=request_id,
            kind=kind.name,
            gateway=outcome.gateway,
            kept=outcome.is_kept,
            sent_at=round(outcome.sent_at, 3),
            seconds=round(outcome.ended_at - outcome.sent_at, 3),
            status=outcome.status,
            end=outcome.end,
        )
        return outcome

    def close(self) -> None:
        """Close the channel."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None
        self._is_kept = False

    def _exchange(self, outcome: Outcome, kind: Kind) -> None:
        if self._sock is None:
            self._sock = eventlet.connect((LOOPBACK, self._gateway.port))
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._reader = Reader(self._sock)
        lines = [
            f"POST /{kind.name}/2f HTTP/1.1",
            f"Host: {HOST}",
            f"{ID_HEADER}: {outcome.request_id}",
            f"X-Hawthornyard-Deadline-Ms: {int(kind.budget_s * 1000)}",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(BODY)}",
        ]
        if kind.n_tokens:
            lines.append("X-Hawthornyard-Model: m")
            n_prompt = kind.n_prompt_tokens
            lines.append(f"X-Hawthornyard-Token-Usage: {n_prompt},{kind.n_tokens}")
            digest = hashlib.sha256(outcome.request_id.encode()).hexdigest()[:8]
            parts = f"5c1e07a2:350,{digest}:{n_prompt - 350}"
            lines.append(f"X-Hawthornyard-Prompt-Prefix: {parts}")
        self._sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + BODY)
        head = Head(self._reader.until(b"\r\n\r\n"))
        if not head.first_line.startswith("HTTP/1.1 "):
            raise ValueError(f"no status line: {head.first_line[:200]!r}")
        outcome.status = int(head.first_line.split(" ")[1])
        if head.get("Transfer-Encoding") == "chunked":
            while n_bytes := int(self._reader.until(b"\r\n"), 16):
                outcome.body += self._reader.exactly(n_bytes)
                self._reader.exactly(2)
            self._reader.exactly(2)
        else:
            outcome.body = self._reader.exactly(int(head.get("Content-Length") or 0))
        if head.get("Connection").lower() == "close":
            self._sock.close()
            self._sock = None


class Gateway:
    """A gateway process, started as the deploy file says.

    Args:
        world: The deployment.
        name: Name of the machine.
        zone: Zone of the machine.
        memory_mb: Memory of the machine.
    """

    def __init__(
        self, world: "World", name: str, zone: str, *, memory_mb: int = 150
    ) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.port = free_port()
        self.ready_port = free_port()
        self.peak_mb = 0.0
        self._world = world
        self._process: Any = None
        self._settings_path = world.folder / f"{name}.json"
        self._settings_path.write_text(json.dumps(self._settings(zone)))

    def _settings(self, zone: str) -> dict[str, Any]:
        return {
            "node": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": LOOPBACK,
            "zone": zone,
            "region": "kgn",
            "zones": {"kgn-a": "kgn", "kgn-b": "kgn", "kgn-c": "kgn"},
            "listen": {
                "front": f"{LOOPBACK}:{self.port}",
                "ready": f"{LOOPBACK}:{self.ready_port}",
            },
            "internal_ports": [free_port(), free_port()],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": self.memory_mb, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_ms": 2000,
                "fail_closed": True,
                "revoke_ms": 5000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 52,
            },
            "platform": {"address": f"{LOOPBACK}:{self._world.store_port}"},
        }

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["HAWTHORNYARD_NODE_FILE"] = str(self._settings_path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._world.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "hawthornyard.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._world.record.write("gateway_started", name=self.name)

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Return whether it answers a readiness probe with status 200."""
        try:
            with eventlet.Timeout(timeout_s):
                sock = eventlet.connect((LOOPBACK, self.ready_port))
                try:
                    sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                    return bool(sock.recv(100).startswith(b"HTTP/1.1 200"))
                finally:
                    sock.close()
        except (OSError, eventlet.Timeout):
            return False

    def wait_ready(self) -> None:
        """Wait until it is ready.

        Raises:
            TimeoutError: If it does not become ready.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"{self.name} did not become ready")
            eventlet.sleep(0.1)

    def resident_mb(self) -> float:
        """Return its memory in megabytes, 0 if it does not run."""
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", text)
        memory_mb = int(match[1]) * 1024 / 1e6 if match else 0.0
        self.peak_mb = max(self.peak_mb, memory_mb)
        return memory_mb


class World:
    """A small deployment: a store, gateways and runners.

    Args:
        case: Folder of the case, which gets the record.

    Attributes:
        arrivals: Requests that runners began to run.
        copies: Copies that runners hold, by their address and the id of the run.
        folder: Temporary folder for settings and logs.
        gateways: The gateways.
        outcomes: What clients got.
        record: Record of the case.
        store: The platform's store.
        store_port: Port of the store.
    """

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.arrivals: list[Arrival] = []
        self.copies: set[tuple[str, str]] = set()
        self.outcomes: list[Outcome] = []
        self.gateways: list[Gateway] = []
        self._is_closed = False
        self.store = PlatformStoreApp()
        listener = eventlet.listen((LOOPBACK, 0))
        self.store_port: int = listener.getsockname()[1]
        eventlet.spawn_n(
            eventlet.wsgi.server, listener, self.store, log=_NoLog(), log_output=False
        )

    def configure(
        self,
        kinds: list[Kind],
        *,
        engine_services: frozenset[str],
        version: int = 1,
        has_copies: bool = False,
    ) -> None:
        """Write the configuration to the store.

        Args:
            kinds: Kinds of request that get a route.
            engine_services: Services whose runners are model runners.
            version: Version of the configuration.
            has_copies: Whether model runners can copy and mirror runs.
        """
        services = sorted({kind.service for kind in kinds})
        config = {
            "version": version,
            "routes": [kind.route() for kind in kinds],
            "services": [
                _service(name, name in engine_services, has_copies) for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }
        self.store.put("op", "config", config)
        self.record.write("configuration", version=version)

    def add_gateways(self, n_gateways: int) -> None:
        """Start gateways, one in each zone, and wait until they are ready."""
        for index in range(n_gateways):
            zone = f"kgn-{'abc'[index % 3]}"
            gateway = Gateway(self, f"front-{zone}-{index + 1}", zone)
            self.gateways.append(gateway)
            gateway.start()
        for gateway in self.gateways:
            gateway.wait_ready()

    def enforce_memory(self, interval_s: float = 0.05) -> None:
        """Kill gateways over their memory, as the platform does; never returns."""
        while True:
            for gateway in self.gateways:
                memory_mb = gateway.resident_mb()
                if memory_mb > gateway.memory_mb:
                    self.record.write(
                        "killed_over_memory",
                        name=gateway.name,
                        memory_mb=round(memory_mb, 1),
                        limit_mb=gateway.memory_mb,
                    )
                    gateway.stop()
                    eventlet.spawn_n(self._restart, gateway)
            eventlet.sleep(interval_s)

    def _restart(self, gateway: Gateway) -> None:
        eventlet.sleep(RESTART_DELAY_S)
        if not self._is_closed:
            gateway.start()

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        self._is_closed = True
        for gateway in self.gateways:
            gateway.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class _NoLog:
    def write(self, text: str) -> None:
        """Discard the text."""


def _service(name: str, is_engine: bool, has_copies: bool) -> dict[str, Any]:
    service: dict[str, Any] = {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 232,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    if is_engine:
        service["engine"] = {
            "slots": 24,
            "kv_cache_tokens": 34253,
            "kv_token_bytes": 163840,
            "link_mbps": 24000.0,
            "moves": has_copies,
            "backups": has_copies,
            "stride": TOKENS_PER_EVENT,
            "handle_s": 5.0,
            "models": [{"name": "m"}],
        }
    return service


@contextlib.contextmanager
def running(case: Path) -> Iterator[World]:
    """Yield a new deployment and end its processes at the end or at SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: _raise_interrupt())
    world = World(case)
    try:
        yield world
    finally:
        world.close()


def _raise_interrupt() -> None:
    raise KeyboardInterrupt


def run(case: Path, play: Callable[[World], bool]) -> int:
    """Play a case.

    Args:
        case: Folder of the case.
        play: Plays it and returns whether the rule held.

    Returns:
        Exit status of the case.
    """
    with running(case) as world:
        try:
            has_held = play(world)
        except (OSError, TimeoutError) as exc:
            world.record.conclude(f"the case could not run: {exc}")
            return NOT_RUN
        return HELD if has_held else BROKEN
