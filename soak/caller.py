"""Send requests as the platform's callers do, and note what comes back."""

import random
import re
import time
from collections.abc import Callable, Sequence
from typing import Any

import eventlet

from hawthornyard.platform.names import (
    MODEL_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
    TIMEOUT_MS_HEADER,
    TOKEN_COUNTS_HEADER,
)
from hawthornyard.platform.standins.endpoint import TOKENS_PER_EVENT, sign

from .deployment import KEYS, N_EVENTS, REVOKED_KEY, TIMEOUTS_S
from .gateway import Gateway
from .ports import LOOPBACK
from .record import Sent

CONNECT_TIMEOUT_S = 1.0
LEAVE_SHARE = 0.06
"""Share of requests whose caller leaves before the answer."""
KEEP_SHARE = 0.7
"""Share of plain requests after which the connection is used again."""
REVOKED_SHARE = 0.15
MAX_RETRY_AFTER_S = 2.0
_PROMISES = frozenset({408, 421, 429, 503})
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
_SIGNATURE = re.compile(rb"%s: (\w+)" % SIGNATURE_HEADER.encode(), re.IGNORECASE)
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class Caller:
    """One caller that sends one request after another.

    Args:
        name: Name of the caller, part of its request ids.
        seed: Seed of its choices.
        gateways: The gateways that it may reach.
        sent: Where its attempts are noted.
    """

    __slots__ = ("_chance", "_gateways", "_n_sent", "_name", "_sent", "_sock", "_to")

    def __init__(
        self, name: str, seed: str, gateways: Sequence[Gateway], sent: list[Sent]
    ) -> None:
        self._name = name
        self._chance = random.Random(seed)
        self._gateways = gateways
        self._sent = sent
        self._n_sent = 0
        self._sock: Any = None
        self._to: Gateway | None = None

    def run(self, kind: str, pause_s: float, is_over: Callable[[], bool]) -> None:
        """Send requests of one kind until it is over.

        Args:
            kind: Kind of request.
            pause_s: Mean pause between two.
            is_over: Tells when to stop.
        """
        while not is_over():
            eventlet.sleep(self._chance.expovariate(1 / pause_s))
            first = self._attempt(kind)
            if first is None or not _may_retry(first):
                continue
            if first.status in _PROMISES:
                eventlet.sleep(self._chance.uniform(0.2, MAX_RETRY_AFTER_S))
            self._drop()
            self._attempt(kind)

    def _attempt(self, kind: str) -> Sent | None:
        gateway = self._to if self._sock is not None else self._choose()
        if gateway is None:
            return None
        self._n_sent += 1
        keys = [key for key in KEYS if key != REVOKED_KEY]
        is_other = self._chance.random() < REVOKED_SHARE
        key = REVOKED_KEY if is_other else self._chance.choice(keys)
        request_id = f"{self._name}-{self._n_sent}"
        sent = Sent(request_id, kind, gateway.name, key, f"/{kind}/{self._n_sent}")
        self._sent.append(sent)
        leaves_s = None
        if self._chance.random() < LEAVE_SHARE:
            leaves_s = self._chance.uniform(0.02, 0.6)
        try:
            with eventlet.Timeout(leaves_s or TIMEOUTS_S[kind] + 3.0):
                self._exchange(sent, gateway)
        except eventlet.Timeout:
            sent.outcome = "left" if leaves_s is not None else "unanswered"
            self._drop()
        except OSError as exc:
            sent.outcome = sent.outcome or "cut"
            sent.problem = sent.problem or f"{type(exc).__name__}: {exc}"
            self._drop()
        sent.ended_at = time.monotonic()
        if sent.outcome != "whole" or self._chance.random() > KEEP_SHARE:
            self._drop()
        return sent

    def _choose(self) -> Gateway | None:
        ready = [gateway for gateway in self._gateways if gateway.is_ready]
        return self._chance.choice(ready) if ready else None

    def _drop(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def _exchange(self, sent: Sent, gateway: Gateway) -> None:
        if self._sock is None:
            sent.outcome = "unconnected"
            self._sock = eventlet.connect((LOOPBACK, gateway.port))
            self._to = gateway
            sent.outcome = ""
        self._sock.sendall(_request(sent))
        sent.sent_at = time.monotonic()
        reader = _Reader(self._sock)
        head = reader.until(b"\r\n\r\n")
        if not head:
            sent.outcome = "cut"
            return
        sent.status = int(head.split(b" ", 2)[1])
        if b"connection: close" in head.lower():
            self._to = None
        body = self._body(sent, head, reader)
        if body is None:
            sent.outcome = "cut"
            return
        sent.outcome = "whole"
        if self._to is None:
            self._drop()
        self._check(sent, head, body)

    def _body(self, sent: Sent, head: bytes, reader: "_Reader") -> bytes | None:
        if b"transfer-encoding: chunked" in head.lower():
            return self._chunks(sent, reader)
        found = _LENGTH.search(head)
        n_bytes = int(found[1]) if found else 0
        body = reader.exactly(n_bytes)
        return body if len(body) == n_bytes else None

    def _chunks(self, sent: Sent, reader: "_Reader") -> bytes | None:
        body = b""
        while True:
            line = reader.until(b"\r\n")
            if not line:
                return None
            n_bytes = int(line, 16)
            chunk = reader.exactly(n_bytes + 2)
            if len(chunk) < n_bytes + 2:
                return None
            if not n_bytes:
                return body
            body += chunk[:-2]
            sent.events = [int(number) for number, _ in _EVENT.findall(body)]

    def _check(self, sent: Sent, head: bytes, body: bytes) -> None:
        if sent.status != 200:
            return
        signature = _SIGNATURE.search(head)
        signed = b"" if sent.kind == "summary" else body
        wanted = sign(sent.request_id, signed).encode()
        if signature is None or signature[1] != wanted:
            sent.problem = f"signature {signature and signature[1]!r}, body {body!r}"
        for number, data in _EVENT.findall(body):
            if data != f"{sent.request_id}/{int(number)}".encode():
                sent.problem = f"event {number!r} holds {data!r}"


def _may_retry(sent: Sent) -> bool:
    if sent.status in _PROMISES:
        return True
    return sent.kind == "lookup" and sent.outcome != "left" and sent.status != 200


def _request(sent: Sent) -> bytes:
    lines = [
        f"POST {sent.path} HTTP/1.1",
        "Host: kiosk.example",
        f"{REQUEST_ID_HEADER}: {sent.request_id}",
        f"{TIMEOUT_MS_HEADER}: {int(TIMEOUTS_S[sent.kind] * 1000)}",
        f"Authorization: Bearer {sent.key}",
        "Content-Length: 5",
    ]
    if sent.kind == "summary":
        lines.append(f"{TOKEN_COUNTS_HEADER}: 1000,{N_EVENTS * TOKENS_PER_EVENT}")
        lines.append(f"{MODEL_HEADER}: m")
    return ("\r\n".join(lines) + "\r\n\r\nhello").encode()


class _Reader:
    __slots__ = ("_rest", "_sock")

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._rest = b""

    def until(self, end: bytes) -> bytes:
        while end not in self._rest:
            data = self._sock.recv(65_536)
            if not data:
                return b""
            self._rest += data
        head, _, self._rest = self._rest.partition(end)
        return head or end

    def exactly(self, n_bytes: int) -> bytes:
        while len(self._rest) < n_bytes:
            data = self._sock.recv(65_536)
            if not data:
                break
            self._rest += data
        data, self._rest = self._rest[:n_bytes], self._rest[n_bytes:]
        return data
