"""Clients that cost a gateway much, come again when they are cut off, and stay."""

import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

import eventlet

from features.support.crowd import ORDINARY
from soak.loopback import LOOPBACK

SETTLE_S = 2.0
"""Time that a crowd gets before an ordinary client comes."""
RECONNECT_S = 0.5
N_BYTE_CHUNKS = 150_000
N_LARGE_BYTES = 3_700_000
_LARGE_CHUNK_BYTES = 50_000

_BADGE = ORDINARY.partition(b"Connection")[0]
_CHUNKED = _BADGE + b"Transfer-Encoding: chunked\r\n"
_PROBE = b"GET / HTTP/1.1\r\nHost: a\r\n"
_BYTE_CHUNK = b"1\r\nx\r\n"
_LARGE_CHUNK = b"%x\r\n%b\r\n" % (_LARGE_CHUNK_BYTES, b"y" * _LARGE_CHUNK_BYTES)
_LARGE_CUT = (_LARGE_CHUNK * (N_LARGE_BYTES // _LARGE_CHUNK_BYTES))[:-3]
# 16,384 bytes are allowed at the port for callers and 65,536 at the one for probes.
_LINES = {
    "short": b"a:\r\n" * 3900,
    "empty": b"".join(b"%x:\r\n" % number for number in range(0x200, 0x200 + 2500)),
    "folded": b"a: 1\r\n" + b" \r\n" * 5000,
    "named alike": b"a: 1\r\n" * 2500,
}


def byte_chunks(n_chunks: int) -> bytes:
    """Return an ordinary request whose body comes in chunks of one byte."""
    head = _CHUNKED + b"Connection: close\r\n\r\n"
    return head + _BYTE_CHUNK * n_chunks + b"0\r\n\r\n"


def _once(data: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: iter((data,))


def _endless(head: bytes, data: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: itertools.chain((head,), itertools.repeat(data))


def _slow_chunks() -> Iterator[bytes]:
    yield _CHUNKED + b"\r\n"
    while True:
        yield _BYTE_CHUNK
        eventlet.sleep(1.0)


def _head(name: str) -> Callable[[], Iterator[bytes]]:
    return _once(_BADGE + _LINES[name] + b"Content-Length: 2\r\n\r\nhi")


def _probe_head(name: str) -> Callable[[], Iterator[bytes]]:
    return _once(_PROBE + _LINES[name] * 4 + b"\r\n")


class Kind:
    """A kind of clients.

    Attributes:
        n_clients: Clients of a crowd.
        pieces: Returns what a client sends on one connection.
        is_for_probes: Whether they connect to the port for probes.
    """

    __slots__ = ("is_for_probes", "n_clients", "pieces")

    def __init__(
        self,
        n_clients: int,
        pieces: Callable[[], Iterator[bytes]],
        *,
        is_for_probes: bool = False,
    ) -> None:
        self.n_clients = n_clients
        self.pieces = pieces
        self.is_for_probes = is_for_probes


_BYTE_BODY = _BYTE_CHUNK * N_BYTE_CHUNKS
_EXPECTED = _CHUNKED + b"Expect: 100-continue\r\n\r\n"
KINDS = {
    "bodies in one-byte chunks": Kind(100, _once(_CHUNKED + b"\r\n" + _BYTE_BODY)),
    "bodies in large chunks": Kind(400, _once(_CHUNKED + b"\r\n" + _LARGE_CUT)),
    "chunk extensions": Kind(
        100, _endless(_CHUNKED + b"\r\n", b"1;a=b\r\nx\r\n" * 1000)
    ),
    "an endless chunk extension": Kind(
        100, _endless(_CHUNKED + b"\r\n1;", b"a" * 10_000)
    ),
    "trailers": Kind(100, _endless(_CHUNKED + b"\r\n0\r\n", b"a:\r\n" * 2500)),
    "a byte a second": Kind(400, _slow_chunks),
    "bodies after 100 Continue": Kind(100, _once(_EXPECTED + _BYTE_BODY)),
    "heads of short lines": Kind(400, _head("short")),
    "heads of empty fields": Kind(400, _head("empty")),
    "heads of folded lines": Kind(400, _head("folded")),
    "heads of one name": Kind(400, _head("named alike")),
    "probes of short lines": Kind(32, _probe_head("short"), is_for_probes=True),
    "probes of empty fields": Kind(32, _probe_head("empty"), is_for_probes=True),
    "probes that are answered": Kind(
        32, _once(_PROBE + b"aa:bb\n" * 10_900 + b"\r\n"), is_for_probes=True
    ),
    "probes of folded lines": Kind(32, _probe_head("folded"), is_for_probes=True),
    "probes of one name": Kind(32, _probe_head("named alike"), is_for_probes=True),
    "probes with a long chunk size": Kind(
        32,
        _once(_PROBE + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"a" * 8_000_000),
        is_for_probes=True,
    ),
    "probes in one-byte chunks": Kind(
        32,
        _endless(_PROBE + b"Transfer-Encoding: chunked\r\n\r\n", _BYTE_CHUNK * 10_000),
        is_for_probes=True,
    ),
}
MIXED = (
    "bodies in one-byte chunks",
    "bodies in large chunks",
    "chunk extensions",
    "heads of folded lines",
    "heads of one name",
    "probes of empty fields",
)
N_MIXED_CLIENTS = 32
"""Clients of each kind in a crowd of several kinds."""


class UncontrolledClients:
    """Crowds that stay: a client that is cut off connects again.

    Args:
        port: Port for callers.
        ready_port: Port for probes.
    """

    __slots__ = ("_port", "_ready_port", "_threads")

    def __init__(self, port: int, ready_port: int) -> None:
        self._port = port
        self._ready_port = ready_port
        self._threads: list[Any] = []

    def join(self, name: str) -> None:
        """Let a crowd of a kind, or of "several kinds", come and settle."""
        if name == "several kinds":
            for each in MIXED:
                self._spawn(KINDS[each], N_MIXED_CLIENTS)
        else:
            self._spawn(KINDS[name], KINDS[name].n_clients)
        eventlet.sleep(SETTLE_S)

    def leave(self) -> None:
        """Close all connections of the crowds."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()

    def _spawn(self, kind: Kind, n_clients: int) -> None:
        port = self._ready_port if kind.is_for_probes else self._port
        for _ in range(n_clients):
            self._threads.append(eventlet.spawn(_stay, port, kind))


def _stay(port: int, kind: Kind) -> None:
    while True:
        with contextlib.suppress(OSError):
            sock = eventlet.connect((LOOPBACK, port))
            with contextlib.closing(sock):
                for piece in kind.pieces():
                    # A view, as a green socket copies what is left after each write.
                    sock.sendall(memoryview(piece))
                while sock.recv(65_536):
                    pass
        eventlet.sleep(RECONNECT_S)
