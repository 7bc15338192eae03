"""Stand-ins and checks that the scripts of the third review share.

A script plays a small deployment: gateways as processes of this project, runners as
processes of `runner_3.py`, and in its own process the platform's store, the consumers
and the operator.
"""

import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import eventlet
from eventlet.event import Event
from eventlet.green import socket

REPOSITORY = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
"""Heartbeats after whose absence the store removes a runner's entry."""

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
"""Bounds of the site ckoa-hawthorn."""

HOST = "kiosk.example"
KEY = "key-of-huka270"


def free_ports(n: int) -> list[int]:
    """Return ports that were free a moment ago."""
    socks = []
    for _ in range(n):
        sock = socket.socket()
        sock.bind((LOOPBACK, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Record:
    """The file `record.txt` of a case.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.started_at

    def note(self, text: str, *, shown: bool = False) -> None:
        """Write a line with its time; also print it if `shown`."""
        line = f"{self.now():8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if shown:
            print(line, flush=True)


class Store:
    """The platform's store: rows, their changes, and the expiry of entries."""

    def __init__(self, record: Record) -> None:
        self.port = free_ports(1)[0]
        self._record = record
        self._version = 1
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._changes: list[tuple[str, dict[str, Any]]] = []
        self._changed = Event()
        self._beat_at: dict[str, float] = {}
        listener = eventlet.listen((LOOPBACK, self.port), backlog=256)
        eventlet.spawn_n(eventlet.serve, listener, self._serve, 1000)
        eventlet.spawn_n(self._expire)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(table, key, data)

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, key) in self._rows:
            self._write(table, key, None)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return [key for name, key in self._rows if name == table]

    def _write(self, table: str, key: str, data: str | None) -> None:
        self._version += 1
        row: dict[str, Any] = {
            "table_name": table,
            "part": "",
            "key": key,
            "ver": self._version,
        }
        if data is None:
            row["tombstone"] = True
            del self._rows[table, key]
        else:
            row["value"] = data
            self._rows[table, key] = (data, self._version)
        self._changes.append((table, row))
        if table == "servers":
            self._beat_at[key] = time.monotonic()
        changed, self._changed = self._changed, Event()
        changed.send()

    def _expire(self) -> None:
        while True:
            eventlet.sleep(0.2)
            oldest = time.monotonic() - SILENT_HEARTBEATS * HEARTBEAT_S
            for key in self.keys("servers"):
                if self._beat_at[key] < oldest:
                    self._record.note(f"store: entry of {key} expires")
                    self.remove("servers", key)

    def _serve(self, conn: Any, _: Any) -> None:
        try:
            while (call := read_message(conn)) is not None:
                first, _headers, body = call
                status, answer = self._answer(first.split(" ")[1], body)
                data = json.dumps(answer).encode()
                conn.sendall(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
        except OSError:
            return
        finally:
            conn.close()

    def _answer(self, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query_text = target.partition("?")
        query = dict(item.split("=", 1) for item in query_text.split("&") if item)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        table = query.get("table_name", "")
        if path == "/rows-get":
            rows = [
                {"table_name": table, "part": "", "key": k, "value": v, "ver": ver}
                for (name, k), (v, ver) in sorted(self._rows.items())
                if name == table
            ]
            return 200, self._page(rows)
        if path == "/rows-feed":
            after = int(query["after"])
            with eventlet.Timeout(int(query["wait_ms"]) / 1000, False):
                while not self._after(table, after):
                    self._changed.wait()
            return 200, self._page(self._after(table, after))
        return 404, {}

    def _after(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            row for name, row in self._changes if name == table and row["ver"] > after
        ]

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now_ms = time.monotonic() * 1000
        return {"rows": rows, "ver": self._version, "now_ms": now_ms, "has_more": False}

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        for row in body.get("expect", []):
            name = (row["table_name"], row["key"])
            if self._rows.get(name, ("", 0))[1] != row["ver"]:
                return 412, {"rows": []}
        for row in body.get("puts", []):
            self._write(row["table_name"], row["key"], row["value"])
        for row in body.get("remove", []):
            self.remove(row["table_name"], row["key"])
        return 200, self._page([])


def read_message(conn: Any) -> tuple[str, dict[str, str], bytes] | None:
    """Read a head and a body with a length; return None at the end of the channel."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            return None
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    length = int(headers.get("content-length", 0))
    while len(body) < length:
        more = conn.recv(65536)
        if not more:
            return None
        body += more
    return lines[0], headers, body


class Child:
    """A process that a script started.

    Args:
        command: Command and arguments.
        log: File that takes its output.
        environ: Variables beside those of the deploy file.
    """

    def __init__(self, command: list[str], log: Path, environ: dict[str, str]) -> None:
        self._command = command
        self._log = log
        self._environ = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            **environ,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=self._environ,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self.process is not None
        return self.process.pid

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.is_alive():
            os.kill(self.pid, number)

    def end(self) -> None:
        """End the process and those that it started."""
        if self.process is None:
            return
        try:
            os.killpg(self.process.pid, signal.SIGKILL)
        except ProcessLookupError:
            pass
        self.process.wait()


class Gateway(Child):
    """A gateway process, started by the command of the deploy file.

    Args:
        folder: Temporary folder.
        name: Name of the machine.
        zone: Zone of the machine.
        store: The store.
    """

    def __init__(self, folder: Path, name: str, zone: str, store: Store) -> None:
        front, ready, peer, metrics = free_ports(4)
        self.name = name
        self.port = front
        self.ready_port = ready
        self.metrics_port = metrics
        settings = {
            "node": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": LOOPBACK,
            "zone": zone,
            "region": "kgn",
            "zones": {"kgn-a": "kgn", "kgn-b": "kgn", "kgn-c": "kgn"},
            "listen": {
                "front": f"{LOOPBACK}:{front}",
                "ready": f"{LOOPBACK}:{ready}",
            },
            "internal_ports": [peer, metrics],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 150,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": f"{LOOPBACK}:{store.port}", "form": "table"},
        }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        super().__init__(
            ["python3", "-m", "hawthornyard.platform"],
            folder / f"{name}.log",
            {"HAWTHORNYARD_NODE_FILE": str(path)},
        )

    def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        try:
            with eventlet.Timeout(1.0):
                conn = eventlet.connect((LOOPBACK, self.ready_port))
                conn.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                data: bytes = conn.recv(100)
                conn.close()
                return b" 200 " in data
        except (OSError, eventlet.Timeout):
            return False


class Runner(Child):
    """A runner process of `runner_3.py`, which keeps its own entry in the store.

    Args:
        folder: Temporary folder.
        name: Id of the runner.
        store: The store.
        options: Further options of `runner_3.py`, without their dashes.
    """

    def __init__(
        self, folder: Path, name: str, store: Store, **options: str | int | float
    ) -> None:
        self.name = name
        self.port = free_ports(1)[0]
        self.journal = folder / "runs.jsonl"
        arguments = [
            item
            for key, value in options.items()
            for item in ("--" + key.replace("_", "-"), str(value))
        ]
        super().__init__(
            [
                sys.executable,
                str(Path(__file__).parent / "runner_3.py"),
                f"--name={name}",
                f"--listen={LOOPBACK}:{self.port}",
                f"--store={LOOPBACK}:{store.port}",
                f"--journal={self.journal}",
                *arguments,
            ],
            folder / f"{name}.log",
            {},
        )


class Answer:
    """What a consumer saw of one request.

    Attributes:
        status: Status, 0 if no head arrived.
        headers: Headers of the answer.
        events: Numbers of the events that arrived, in order.
        body: Body of the answer.
        is_whole: Whether the answer ended as its framing says.
        seconds: Time until its end.
        detail: What ended it.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.seconds = 0.0
        self.detail = ""

    @property
    def events(self) -> list[int]:
        """Return the numbers of the whole events in the body."""
        return [
            int(block.partition(b"id: ")[2].split(b"\n")[0])
            for block in self.body.split(b"\n\n")
            if b"id: " in block
        ]


def request_bytes(
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    prefix: str = "",
    usage: str = "",
    deadline_ms: int = 6000,
    key: str = KEY,
    body: bytes = b"{}",
) -> bytes:
    """Return the bytes of a consumer's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Hawthornyard-Request-Id: {request_id}",
        f"X-Hawthornyard-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
    ]
    if usage:
        lines += [
            "X-Hawthornyard-Model: m",
            f"X-Hawthornyard-Token-Usage: {usage}",
            f"X-Hawthornyard-Prompt-Prefix: {prefix}",
        ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Consumer:
    """A consumer that keeps its channel open for many requests.

    Args:
        port: Port of its gateway.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._conn: Any = None
        self._rest = b""

    def call(self, data: bytes, timeout_s: float) -> Answer:
        """Send one request and return what comes back within the time."""
        answer = Answer()
        began = time.monotonic()
        try:
            with eventlet.Timeout(timeout_s):
                if self._conn is None:
                    self._conn = eventlet.connect((LOOPBACK, self._port))
                    self._rest = b""
                self._conn.sendall(data)
                self._read(answer)
        except eventlet.Timeout:
            answer.detail = "gave up"
        except OSError as exc:
            answer.detail = f"{type(exc).__name__}"
        answer.seconds = time.monotonic() - began
        if not answer.is_whole or "close" in answer.headers.get("connection", ""):
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _read(self, answer: Answer) -> None:
        head = self._until(b"\r\n\r\n", answer)
        if head is None:
            return
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while (line := self._until(b"\r\n", answer)) is not None:
                size = int(line, 16)
                piece = self._exactly(size + 2, answer)
                if piece is None:
                    return
                if not size:
                    answer.is_whole = True
                    answer.detail = "last chunk"
                    return
                answer.body += piece[:-2]
            return
        length = int(answer.headers.get("content-length", 0))
        body = self._exactly(length, answer)
        if body is not None:
            answer.body = body
            answer.is_whole = True
            answer.detail = "whole length"

    def _until(self, end: bytes, answer: Answer) -> bytes | None:
        while end not in self._rest:
            if not self._more(answer):
                return None
        found, _, self._rest = self._rest.partition(end)
        return found

    def _exactly(self, n: int, answer: Answer) -> bytes | None:
        while len(self._rest) < n:
            if not self._more(answer):
                return None
        found, self._rest = self._rest[:n], self._rest[n:]
        return found

    def _more(self, answer: Answer) -> bool:
        data = self._conn.recv(65536)
        if not data:
            answer.detail = "channel closed"
            return False
        self._rest += data
        return True


def deployment(routes: list[dict[str, Any]], *, slots: int = 24) -> dict[str, Any]:
    """Return a configuration with one tenant and the service `scribe`."""
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {
                "name": "scribe",
                "max_connections": 232,
                "cold_per_s": 0,
                "health_check_path": "/health",
                "engine": {
                    "slots": slots,
                    "kv_cache_tokens": 34253,
                    "kv_token_bytes": 1000,
                    "link_mbps": 1000.0,
                    "moves": False,
                    "backups": False,
                    "handle_s": 5.0,
                    "stride": 4,
                },
            }
        ],
        "tenants": [{"name": "huka270", "api_keys": [KEY], "priority": 1}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


def stream_route(
    name: str, prefix: str, *, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    """Return a streaming route to the service `scribe`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": "scribe",
        "kind": "streaming",
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "gap_aim_ms": 180,
        "priority": 1,
        "max_attempts": 1,
        "public": False,
    }


def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        eventlet.sleep(0.1)
    return False


def read_runs(path: Path) -> list[dict[str, Any]]:
    """Return what the runners wrote into their journal."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]


def new_ids() -> Callable[[], str]:
    """Return a source of request ids."""
    source = random.Random()
    return lambda: f"{source.getrandbits(64):016x}"


def end_all(children: Iterable[Child]) -> None:
    """End all processes that the script started."""
    for child in children:
        child.end()


def run_case(folder: Path, play: Callable[..., int]) -> int:
    """Play a case and end its processes.

    Args:
        folder: Folder of the case.
        play: Gets a temporary folder, the record, a list for the processes that it
            starts, and whether there is trouble; returns the exit status.

    Returns:
        The exit status, 2 if the case could not run.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    children: list[Child] = []
    # Raised in the hub, which passes it on to this function.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as name:
        try:
            status = play(Path(name), record, children, has_trouble=has_trouble)
            for run in read_runs(Path(name) / "runs.jsonl"):
                record.note(f"run: {json.dumps(run)}")
            return status
        except Exception:
            record.note(traceback.format_exc(), shown=True)
            return 2
        finally:
            end_all(children)
