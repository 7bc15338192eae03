"""Stand-ins and helpers of the second review's scripts (`review/6` to `review/10`).

A script starts gateways with the command of `deploy/system.toml` as separate processes.
The store, the runners and the consumers are green threads of the script's own process;
they speak what the users' pages say, on loopback addresses and the real clock.
"""

import base64
import json
import os
import re
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event
from eventlet.green import socket, subprocess, time

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HEARTBEAT_S = 1.2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "fail_closed": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evac_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 4.6,
}


class Record:
    """Record of what was sent, answered and run, with seconds since its start.

    Args:
        path: File that it is written to.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._begun_at = time.monotonic()

    def fileno(self) -> int:
        """Return the descriptor of the file, for a process that writes lines to it."""
        return self._file.fileno()

    def now(self) -> float:
        """Return the seconds since the start."""
        return float(time.monotonic() - self._begun_at)

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {words}\n")
        self._file.flush()


class HttpRequest:
    """One HTTP request that a stand-in has read."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        self.body = body


def read_request(sock: Any, buffer: bytearray) -> HttpRequest | None:
    """Return the next request on a channel, None at its end."""
    while b"\r\n\r\n" not in buffer:
        data = sock.recv(65536)
        if not data:
            return None
        buffer += data
    head, _, rest = bytes(buffer).partition(b"\r\n\r\n")
    match = re.search(rb"(?i)\r\ncontent-length: *([0-9]+)", head)
    length = int(match[1]) if match else 0
    while len(rest) < length:
        data = sock.recv(65536)
        if not data:
            return None
        rest += data
    buffer[:] = rest[length:]
    return HttpRequest(head, rest[:length])


class Listener:
    """Listener on a loopback address that serves each channel in a green thread."""

    def __init__(
        self, answer: Callable[[Any, HttpRequest], bool], port: int = 0
    ) -> None:
        self._answer = answer
        self._sock = eventlet.listen(("127.0.0.1", port), backlog=1024)
        self._channels: set[Any] = set()
        self.port: int = self._sock.getsockname()[1]
        self._thread = eventlet.spawn(self._accept)

    @property
    def address(self) -> str:
        """Return "address:port"."""
        return f"127.0.0.1:{self.port}"

    def close(self) -> None:
        """Close the listener and all channels, as the end of a process does."""
        self._thread.kill()
        self._sock.close()
        for sock in list(self._channels):
            sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            sock, _ = self._sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        self._channels.add(sock)
        buffer = bytearray()
        try:
            while (request := read_request(sock, buffer)) is not None:
                if not self._answer(sock, request):
                    return
        except OSError:
            return
        finally:
            self._channels.discard(sock)
            sock.close()


def send_json(sock: Any, status: str, body: object, **headers: object) -> None:
    """Send a whole JSON answer."""
    data = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status}", "Content-Type: application/json"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(data)}", "", ""]
    sock.sendall("\r\n".join(lines).encode() + data)


class Store:
    """The platform's store, at one address for each machine.

    Attributes:
        turned_away: Addresses at which calls are refused with status 503.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], dict[str, Any]] = {}
        self._version = 0
        self._changed = Event()
        self._listeners: list[Listener] = []
        self.turned_away: set[str] = set()

    def open(self) -> str:
        """Return a further address of the store."""
        listener = Listener(lambda sock, req: self._answer(sock, req, listener.address))
        self._listeners.append(listener)
        return listener.address

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row, as the operator and the runners do."""
        self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write(table, key, None)

    def _write(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        row: dict[str, Any] = {
            "table_name": table,
            "part": "",
            "key": key,
            "ver": self._version,
        }
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        self._rows[table, key] = row
        changed, self._changed = self._changed, Event()
        changed.send()

    def _answer(self, sock: Any, request: HttpRequest, address: str) -> bool:
        eventlet.sleep(0.004)
        path, _, query_text = request.target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        if path == "/rows-feed" and address not in self.turned_away:
            self._wait_for_change(query, address)
        if address in self.turned_away:
            send_json(sock, "503 Service Unavailable", {})
            return True
        extra: dict[str, object] = {}
        if path == "/rows-get":
            found = self._select(query["table_name"], after=0, live=True)
            found.sort(key=lambda row: str(row["key"]))
            extra = {"rows": found, "has_more": False}
        elif path == "/rows-feed":
            extra = {"rows": self._select(query["table_name"], int(query["after"]))}
        elif path == "/rows-tx" and not self._transact(json.loads(request.body)):
            send_json(sock, "412 Precondition Failed", {"rows": []}, Store_Era=1)
            return True
        now_ms = round(time.monotonic() * 1000)
        body = {"ver": self._version, "now_ms": now_ms, **extra}
        send_json(sock, "200 OK", body, Store_Era=1)
        return True

    def _wait_for_change(self, query: dict[str, str], address: str) -> None:
        with eventlet.Timeout(int(query["wait_ms"]) / 1000, False):
            while address not in self.turned_away and not self._select(
                query["table_name"], int(query["after"])
            ):
                self._changed.wait()

    def _select(
        self, table: str, after: int, *, live: bool = False
    ) -> list[dict[str, Any]]:
        found = [
            row
            for (name, _), row in self._rows.items()
            if name == table
            and row["ver"] > after
            and not (live and row.get("tombstone"))
        ]
        return sorted(found, key=lambda row: int(row["ver"]))

    def _transact(self, body: dict[str, Any]) -> bool:
        for row in body["expect"]:
            known = self._rows.get((row["table_name"], row["key"]), {"ver": 0})
            if known["ver"] != row["ver"]:
                return False
        for row in body["puts"]:
            self._write(row["table_name"], row["key"], row["value"])
        for row in body["remove"]:
            self._write(row["table_name"], row["key"], None)
        return True


class Runner:
    """A runner, which writes its entry into the store and records what it runs.

    Attributes:
        extra_headers: Header lines that all its answers have.
        n_run: Number of requests that it has run.
    """

    def __init__(
        self, name: str, service: str, store: Store, record: Record, *, slots: int = 6
    ) -> None:
        self.name = name
        self.extra_headers: list[str] = []
        self.n_run = 0
        self.record = record
        self._service = service
        self._store = store
        self._slots = slots
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._listener = Listener(self._answer)
        self.write_entry("ready")

    def write_entry(self, state: str) -> None:
        """Write its entry into the store."""
        self._sequence += 1
        entry = {
            "service": self._service,
            "address": self._listener.address,
            "zone": "kgn-a",
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)

    def exit(self) -> None:
        """End, as a process does after it has served for long enough."""
        self.record.write("runner_exits", runner=self.name)
        self._store.remove("servers", self.name)
        self._listener.close()

    def _answer(self, sock: Any, request: HttpRequest) -> bool:
        if request.target in ("/health", "/report"):
            body = {"state": "ready", "born": self._born, "running": 0, "queued": 0}
            send_json(sock, "200 OK", body, X_Hawthornyard_Instance_Id=self.name)
            return True
        expected = request.headers.get("x-hawthornyard-expect-instance")
        request_id = request.headers["x-hawthornyard-request-id"]
        if expected not in (None, self.name):
            send_json(
                sock,
                "421 Misdirected Request",
                {},
                X_Hawthornyard_Request_Id=request_id,
                X_Hawthornyard_Instance_Id=self.name,
            )
            return True
        self.n_run += 1
        self.record.write(
            "run",
            runner=self.name,
            id=request_id,
            request=f"{request.method} {request.target}",
        )
        return self.run(sock, request, request_id)

    def run(self, sock: Any, request: HttpRequest, request_id: str) -> bool:
        """Run a request and answer it; return whether the channel is kept."""
        eventlet.sleep(0.045)
        sock.sendall(self.head(request_id, 800) + b"x" * 800)
        return True

    def head(
        self, request_id: str, length: int | None = None, *, kind: str = "text/plain"
    ) -> bytes:
        """Return the head of a successful answer, in chunks if it has no length."""
        lines = [
            "HTTP/1.1 200 OK",
            f"Content-Type: {kind}",
            f"X-Hawthornyard-Request-Id: {request_id}",
            f"X-Hawthornyard-Response-Seal: {seal(request_id)}",
            *self.extra_headers,
            "Transfer-Encoding: chunked"
            if length is None
            else f"Content-Length: {length}",
        ]
        return "\r\n".join([*lines, "", ""]).encode()


def seal(request_id: str) -> str:
    """Return the receipt of a runner's answer."""
    return f"3e1b.07.{request_id}"


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream as a chunk."""
    data = f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
    return b"%x\r\n%s\r\n" % (len(data), data)


class Gateway:
    """A gateway process with the command of the deploy file.

    Args:
        store_address: Address of the store for this machine.
        folder: Temporary folder for its settings and its log.
        limits: Fields of `limits` in its settings that differ from the small site's.
    """

    def __init__(
        self, store_address: str, folder: Path, limits: dict[str, object] | None = None
    ) -> None:
        self.port, ready, peer, metrics = _free_ports(4)
        self._ready_port = ready
        settings = {
            "node": "front-kgn-a-1",
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "kgn-a",
            "region": "kgn",
            "zones": {"kgn-a": "kgn", "kgn-b": "kgn", "kgn-c": "kgn"},
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "ready": f"127.0.0.1:{ready}",
            },
            "internal_ports": [peer, metrics],
            "seeds": [],
            "bootstrap": True,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 150,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
                **(limits or {}),
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "table"},
        }
        path = folder / "boot.json"
        path.write_text(json.dumps(settings))
        self.log_path = folder / "gateway.log"
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "HAWTHORNYARD_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "hawthornyard.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until it says that it is ready; return whether it does in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                answer = Channel(self._ready_port).ask("GET", "/readiness")
            except OSError:
                eventlet.sleep(0.1)
                continue
            if answer.status == 200:
                return True
            eventlet.sleep(0.1)
        return False

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def close(self) -> None:
        """End the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Answer:
    """What a consumer got for a request.

    Attributes:
        status: Status, 0 if the channel ended without one.
        headers: Headers, by lower-case name.
        body: Body, without its framing.
        is_complete: Whether the answer came to its end.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


class Channel:
    """A consumer's channel to a gateway."""

    def __init__(self, port: int) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port), timeout=1.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = bytearray()

    def close(self) -> None:
        """Close the channel."""
        self._sock.close()

    def ask(
        self,
        method: str,
        target: str,
        *,
        request_id: str = "",
        deadline_ms: int = 1000,
        headers: tuple[str, ...] = (),
        body: bytes = b"",
    ) -> Answer:
        """Send a request and return what comes back until its end."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        if request_id:
            lines += [
                f"X-Hawthornyard-Request-Id: {request_id}",
                f"X-Hawthornyard-Deadline-Ms: {deadline_ms}",
                f"Authorization: Bearer {KEY}",
            ]
        lines += headers
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._sock.settimeout(deadline_ms / 1000 + 2.0)
        answer = Answer()
        try:
            self._sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            self._read(answer)
        except OSError:
            pass
        return answer

    def _read(self, answer: Answer) -> None:
        while b"\r\n\r\n" not in self._buffer:
            if not self._fill():
                return
        head, _, rest = bytes(self._buffer).partition(b"\r\n\r\n")
        self._buffer[:] = rest
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            self._read_chunks(answer)
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(self._buffer) < length and self._fill():
                pass
            answer.body = bytes(self._buffer[:length])
            answer.is_complete = len(answer.body) == length
            del self._buffer[:length]
        else:
            while self._fill():
                pass
            answer.body = bytes(self._buffer)
            answer.is_complete = True

    def _read_chunks(self, answer: Answer) -> None:
        while True:
            while b"\r\n" not in self._buffer:
                if not self._fill():
                    return
            line, _, _ = bytes(self._buffer).partition(b"\r\n")
            size = int(line, 16)
            n_bytes = len(line) + 2 + size + 2
            while len(self._buffer) < n_bytes:
                if not self._fill():
                    return
            answer.body += bytes(self._buffer[len(line) + 2 : n_bytes - 2])
            del self._buffer[:n_bytes]
            if not size:
                answer.is_complete = True
                return

    def _fill(self) -> bool:
        data = self._sock.recv(65536)
        self._buffer += data
        return bool(data)


def configuration() -> dict[str, Any]:
    """Return a configuration with a route for each kind of request."""

    def route(name: str, kind: str, service: str, **fields: object) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 2,
            "service": service,
            "max_attempts": 1,
            "public": False,
            **fields,
        }

    stream: dict[str, Any] = {
        "timeout_ms": 39000,
        "target_latency_ms": 1800,
        "priority": 1,
        "gap_aim_ms": 180,
        "session_affinity": True,
        "resumable": False,
    }
    engine = {
        "slots": 24,
        "kv_cache_tokens": 34253,
        "kv_token_bytes": 163840,
        "link_mbps": 24000.0,
        "moves": False,
        "backups": False,
        "stride": 4,
        "models": [{"name": "m"}],
    }
    return {
        "version": 7,
        "routes": [
            route("visit-summary", "streaming", "scribe", **stream),
            route("badge-issue", "non_idempotent", "frontdesk"),
            route("guest-lookup", "idempotent", "frontdesk", max_attempts=2),
        ],
        "services": [
            {
                "name": "scribe",
                "health_check_path": "/health",
                "max_connections": 232,
                "cold_start_s": 1.0,
                "cold_per_s": 36.0,
                "engine": engine,
            },
            {
                "name": "frontdesk",
                "health_check_path": "/health",
                "max_connections": 96,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path,
    play: Callable[[Store, Record, Path], bool | None],
    timeout_s: float = 100.0,
) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: Folder of the case.
        play: Plays the case; returns whether the rule held, None if it could not run.
        timeout_s: Longest time of the play.
    """
    record = Record(folder / "record.txt")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    status = 2
    try:
        store = Store()
        store.put("op", "config", configuration())
        with eventlet.Timeout(timeout_s):
            held = play(store, record, temporary)
        if held is not None:
            status = 0 if held else 1
    except eventlet.Timeout:
        record.write("case_timed_out")
    finally:
        record.write("result", status=status, trouble=has_trouble())
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)


def _free_ports(n_ports: int) -> list[int]:
    socks = [socket.socket() for _ in range(n_ports)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports
