"""Callers that send requests and record the answers."""

import random
import re
import time
from collections.abc import Callable, Sequence
from typing import Any

import eventlet

from hawthornyard.platform.names import (
    LEAVING_HEADER,
    MODEL_HEADER,
    PROMPT_PREFIX_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    TIMEOUT_MS_HEADER,
    TOKEN_COUNTS_HEADER,
)
from hawthornyard.platform.standins.endpoint import TOKENS_PER_EVENT, sign

from .deployment import DEADLY_PART, KEYS, N_EVENTS, REVOKED_KEY, TIMEOUTS_S
from .gateway import Gateway
from .loopback import LOOPBACK
from .record import Attempt

CONNECT_TIMEOUT_S = 1.0
DISCONNECT_SHARE = 0.06
"""Share of attempts whose caller disconnects before the answer is complete."""
KEEP_ALIVE_SHARE = 0.7
"""Share of complete answers after which the connection is reused."""
REVOKED_KEY_SHARE = 0.15
"""Share of attempts with the key that faults revoke."""
MAX_RETRY_DELAY_S = 2.0
DEADLY_SHARE = 0.3
"""Share of the prompts that have the deadly part, while callers are tainting."""
N_GROUPS = 4
N_PLACES = 20
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request was not run, so that it may be retried."""
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
_LEAVING = re.compile(rb"\n%s: 1(?:\r|$)" % LEAVING_HEADER.encode(), re.IGNORECASE)
_SIGNATURE = re.compile(rb"%s: (\w+)" % SIGNATURE_HEADER.encode(), re.IGNORECASE)
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class Caller:
    """A caller that sends one request at a time.

    Args:
        name: Name of the caller, the prefix of its request ids.
        seed: Seed of the caller's choices.
        gateways: Gateways to choose from.
        attempts: List to which the caller appends its attempts.
        is_tainting: Returns whether some prompts have the deadly part.
    """

    __slots__ = (
        "_attempts",
        "_gateway",
        "_gateways",
        "_is_tainting",
        "_n_attempts",
        "_name",
        "_rng",
        "_sock",
    )

    def __init__(
        self,
        name: str,
        seed: str,
        gateways: Sequence[Gateway],
        attempts: list[Attempt],
        is_tainting: Callable[[], bool],
    ) -> None:
        self._name = name
        self._rng = random.Random(seed)
        self._gateways = gateways
        self._attempts = attempts
        self._is_tainting = is_tainting
        self._n_attempts = 0
        self._sock: Any = None
        self._gateway: Gateway | None = None

    def run(self, kind: str, pause_s: float, is_stopped: Callable[[], bool]) -> None:
        """Send requests of one kind until stopped.

        Args:
            kind: Kind of request.
            pause_s: Mean pause between two requests, in seconds.
            is_stopped: Returns whether to send no further request.
        """
        while not is_stopped():
            eventlet.sleep(self._rng.expovariate(1 / pause_s))
            first_attempt = self._send_request(kind)
            if first_attempt is None or not _may_retry(first_attempt):
                continue
            if first_attempt.status in _NOT_RUN_STATUSES:
                eventlet.sleep(self._rng.uniform(0.2, MAX_RETRY_DELAY_S))
            self._disconnect()
            self._send_request(kind)

    def _send_request(self, kind: str) -> Attempt | None:
        gateway = self._gateway if self._sock is not None else self._choose_gateway()
        if gateway is None:
            return None
        self._n_attempts += 1
        keys = [key for key in KEYS if key != REVOKED_KEY]
        uses_revoked_key = self._rng.random() < REVOKED_KEY_SHARE
        key = REVOKED_KEY if uses_revoked_key else self._rng.choice(keys)
        request_id = f"{self._name}-{self._n_attempts}"
        attempt = Attempt(
            request_id,
            kind,
            gateway.name,
            key,
            f"/{kind}/{self._n_attempts}",
            prefix=self._prefix(request_id) if kind == "summary" else (),
        )
        self._attempts.append(attempt)
        disconnect_after_s = None
        if self._rng.random() < DISCONNECT_SHARE:
            disconnect_after_s = self._rng.uniform(0.02, 0.6)
        try:
            with eventlet.Timeout(disconnect_after_s or TIMEOUTS_S[kind] + 3.0):
                self._exchange(attempt, gateway)
        except eventlet.Timeout:
            attempt.outcome = "left" if disconnect_after_s is not None else "unanswered"
            self._disconnect()
        except OSError as exc:
            attempt.outcome = attempt.outcome or "cut"
            attempt.problem = attempt.problem or f"{type(exc).__name__}: {exc}"
            self._disconnect()
        attempt.ended_at = time.monotonic()
        if attempt.outcome != "whole" or self._rng.random() > KEEP_ALIVE_SHARE:
            self._disconnect()
        return attempt

    def _prefix(self, request_id: str) -> list[str]:
        # From a source of its own: the caller's other choices must not depend on it.
        rng = random.Random(f"prefix of {request_id}")
        shared = [
            f"group-{rng.randrange(N_GROUPS)}",
            f"place-{rng.randrange(N_PLACES)}",
        ]
        if rng.random() < DEADLY_SHARE and self._is_tainting():
            shared.append(DEADLY_PART)
        return [*shared, request_id]

    def _choose_gateway(self) -> Gateway | None:
        ready = [gateway for gateway in self._gateways if gateway.is_ready]
        return self._rng.choice(ready) if ready else None

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _exchange(self, attempt: Attempt, gateway: Gateway) -> None:
        if self._sock is None:
            attempt.outcome = "unconnected"
            self._sock = eventlet.connect((LOOPBACK, gateway.port))
            self._gateway = gateway
            attempt.outcome = ""
        self._sock.sendall(_format_request(attempt))
        attempt.sent_at = time.monotonic()
        reader = _SocketReader(self._sock)
        head = reader.read_until(b"\r\n\r\n")
        if not head:
            attempt.outcome = "cut"
            return
        attempt.status = int(head.split(b" ", 2)[1])
        if _LEAVING.search(head):
            attempt.told_leaving_at = time.monotonic()
        if b"connection: close" in head.lower():
            self._gateway = None
        body = self._read_body(attempt, head, reader)
        if body is None:
            attempt.outcome = "cut"
            return
        attempt.outcome = "whole"
        if self._gateway is None:
            self._disconnect()
        self._check_answer(attempt, head, body)

    def _read_body(
        self, attempt: Attempt, head: bytes, reader: "_SocketReader"
    ) -> bytes | None:
        if b"transfer-encoding: chunked" in head.lower():
            return self._read_chunks(attempt, reader)
        match = _LENGTH.search(head)
        n_bytes = int(match[1]) if match else 0
        body = reader.read_exactly(n_bytes)
        return body if len(body) == n_bytes else None

    def _read_chunks(self, attempt: Attempt, reader: "_SocketReader") -> bytes | None:
        body = b""
        while True:
            line = reader.read_until(b"\r\n")
            if not line:
                return None
            n_bytes = int(line, 16)
            chunk = reader.read_exactly(n_bytes + 2)
            if len(chunk) < n_bytes + 2:
                return None
            if not n_bytes:
                return body
            body += chunk[:-2]
            attempt.events = [int(number) for number, _ in _EVENT.findall(body)]

    def _check_answer(self, attempt: Attempt, head: bytes, body: bytes) -> None:
        if attempt.status != 200:
            return
        signature = _SIGNATURE.search(head)
        signed = b"" if attempt.kind == "summary" else body
        expected = sign(attempt.request_id, signed).encode()
        if signature is None or signature[1] != expected:
            attempt.problem = f"signature {signature and signature[1]!r}, body {body!r}"
        for number, data in _EVENT.findall(body):
            if data != f"{attempt.request_id}/{int(number)}".encode():
                attempt.problem = f"event {number!r} holds {data!r}"


def _may_retry(attempt: Attempt) -> bool:
    if attempt.status in _NOT_RUN_STATUSES:
        return True
    return (
        attempt.kind == "lookup" and attempt.outcome != "left" and attempt.status != 200
    )


def _format_request(attempt: Attempt) -> bytes:
    lines = [
        f"POST {attempt.path} HTTP/1.1",
        "Host: kiosk.example",
        f"{REQUEST_ID_HEADER}: {attempt.request_id}",
        f"{TIMEOUT_MS_HEADER}: {int(TIMEOUTS_S[attempt.kind] * 1000)}",
        f"Authorization: Bearer {attempt.key}",
        "Content-Length: 5",
    ]
    if attempt.kind == "summary":
        lines.append(f"{TOKEN_COUNTS_HEADER}: 1000,{N_EVENTS * TOKENS_PER_EVENT}")
        lines.append(f"{MODEL_HEADER}: m")
        prefix = ",".join(f"{part}:300" for part in attempt.prefix)
        lines.append(f"{PROMPT_PREFIX_HEADER}: {prefix}")
    return ("\r\n".join(lines) + "\r\n\r\nhello").encode()


class _SocketReader:
    __slots__ = ("_buffer", "_sock")

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._buffer = b""

    def read_until(self, end: bytes) -> bytes:
        while end not in self._buffer:
            data = self._sock.recv(65_536)
            if not data:
                return b""
            self._buffer += data
        head, _, self._buffer = self._buffer.partition(end)
        return head or end

    def read_exactly(self, n_bytes: int) -> bytes:
        while len(self._buffer) < n_bytes:
            data = self._sock.recv(65_536)
            if not data:
                break
            self._buffer += data
        data, self._buffer = self._buffer[:n_bytes], self._buffer[n_bytes:]
        return data
