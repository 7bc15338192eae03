"""A gateway process of little memory and crowds of clients that cost it much."""

import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import eventlet

from features.support.gateway_process import GatewayProcess
from features.support.platform_bytes import (
    AUTH,
    HOST,
    REQUEST_ID,
    SIGNATURE_HEADERS,
    STREAM_HEAD,
    chunk,
)
from features.support.platform_world import KEY, route
from features.support.scripted import read_message
from soak.loopback import LOOPBACK
from soak.process import Process

MEMORY_MB = 96
MAX_FDS = 900
MAX_BODY_BYTES = 4_194_304
N_CLIENTS = 400
HOLD_S = 9.0
ANSWER_TIMEOUT_S = 30.0
LARGE_BODY = b"x" * 900_000
EVENT = b"id: %d\ndata: " + b"w" * 16_000 + b"\n\n"
EVENT_GAP_S = 0.25
N_EVENTS = 400

CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        route("badge", "non_idempotent", timeout_ms=5000),
        route("large", "idempotent", timeout_ms=20_000),
        route("summary", "streaming", timeout_ms=60_000, gap_aim_ms=5000),
    ],
    "services": [{"name": "desk", "max_connections": 1000, "health_check_path": "/h"}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [{"name": "kiosk", "api_keys": [KEY], "priority": 1}],
}

_HEADERS = HOST + REQUEST_ID + AUTH
_BADGE = b"POST /badge/1 HTTP/1.1\r\n" + _HEADERS
_LARGE = b"GET /large/1 HTTP/1.1\r\n" + _HEADERS
_SUMMARY = b"POST /summary/1 HTTP/1.1\r\n" + _HEADERS
_ODD_LINES = b"a:\r\nb: 1\r\n 2\r\n\t3\r\nb: 4\r\nc:d\r\n"
CROWDS = {
    "many tiny lines": _BADGE + b"a:\r\n" * 2300 + b"Content-Length: 9\r\n\r\n",
    "odd lines": _BADGE + _ODD_LINES * 400 + b"Content-Length: 9\r\n\r\n",
    "heads that never end": _BADGE + b"a:\r\n" * 3900,
    "pipelined requests": (_LARGE + b"\r\n") * 100,
    "bodies never sent": _BADGE + b"Content-Length: 4000000\r\n\r\nx",
    "responses never read": _LARGE + b"\r\n",
    "streams never read": _SUMMARY + b"Content-Length: 0\r\n\r\n",
    "responses read slowly": _LARGE + b"\r\n",
    "streams read slowly": _SUMMARY + b"Content-Length: 0\r\n\r\n",
    "half-closed connections": _LARGE + b"\r\n",
}
ORDINARY = _BADGE + b"Connection: close\r\nContent-Length: 2\r\n\r\nhi"


class CrowdWorld:
    """A gateway process with a store and an endpoint in this process.

    Attributes:
        n_running: Requests that the endpoint answers now.
    """

    __slots__ = ("_endpoint", "_gateway", "_socks", "n_running")

    def __init__(self, folder: Path, *, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.n_running = 0
        self._socks: list[Any] = []
        self._endpoint = eventlet.listen((LOOPBACK, 0))
        eventlet.spawn_n(self._run_endpoint)
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        config = {**CONFIG, "limits": {**CONFIG["limits"]}}
        config["limits"]["max_body_bytes"] = max_body_bytes
        self._gateway = GatewayProcess(folder, config, limits=limits)
        address = f"{LOOPBACK}:{self._endpoint.getsockname()[1]}"
        self._gateway.add_entry("i-1", address, service="desk", slots=1000)
        self._gateway.start()

    @property
    def process(self) -> Process:
        """Return the process of the gateway."""
        return self._gateway.process

    @property
    def ports(self) -> tuple[int, int]:
        """Return the ports for callers and for probes."""
        return self._gateway.port, self._gateway.ready_port

    def is_ready(self) -> bool:
        """Return whether the readiness port answers with status 200."""
        return self._gateway.is_ready()

    def send(self, data: bytes) -> bytes:
        """Send one request and return what comes back."""
        return self._gateway.send(data)

    def join(self, kind: str) -> None:
        """Connect a crowd, which stays until `close`."""
        for _ in range(N_CLIENTS):
            sock = eventlet.connect((LOOPBACK, self._gateway.port))
            self._socks.append(sock)
            eventlet.spawn_n(_behave, sock, kind)
        eventlet.sleep(HOLD_S)

    def await_answer(self, request: Callable[[], bool]) -> bool:
        """Return whether a call succeeds, if need be after some attempts."""
        with eventlet.Timeout(ANSWER_TIMEOUT_S, False):
            while not request():
                eventlet.sleep(0.2)
            return True
        return False

    def peak_mb(self) -> float:
        """Return the largest resident memory of the gateway so far, 10^6 bytes."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024 / 1e6

    def n_descriptors(self) -> int:
        """Return the number of open descriptors of the gateway."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def close(self) -> None:
        """End the gateway and the crowd."""
        self._gateway.close()
        self._endpoint.close()
        for sock in self._socks:
            sock.close()

    def _run_endpoint(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._endpoint.accept()
                eventlet.spawn_n(self._answer, sock)

    def _answer(self, sock: Any) -> None:
        self.n_running += 1
        try:
            _answer_request(sock)
        except OSError:
            pass
        finally:
            self.n_running -= 1
            sock.close()


def _answer_request(sock: Any) -> None:
    request = read_message(sock)
    head = b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS.replace(b"{id}", b"r-1")
    if b" /summary" not in request:
        body = LARGE_BODY if b" /large" in request else b"done"
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return
    sock.sendall(STREAM_HEAD.replace(b"{id}", b"r-1"))
    for number in range(1, N_EVENTS + 1):
        sock.sendall(chunk(EVENT % number))
        eventlet.sleep(EVENT_GAP_S)


def _behave(sock: Any, kind: str) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(CROWDS[kind])
        if kind == "half-closed connections":
            sock.shutdown(1)
        if kind.endswith("slowly"):
            while sock.recv(1):
                eventlet.sleep(1.0)
