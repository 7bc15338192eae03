"""Fake endpoints and raw sockets for behaviour that the stand-ins lack."""

import gzip
import json
import socket
from collections.abc import Iterable, Iterator
from typing import Any

from eventlet.event import Event

from hawthornyard.codec import MsgpackCodec
from hawthornyard.frames import Frame
from hawthornyard.io.handshake import FrameReader

SOCKET_TIMEOUT_S = 10.0
N_TOKENS_BEFORE_STALL = 2
RECEIVE_BYTES = 65536


class StalledEngine:
    """An engine that generates `n_tokens` tokens per request and then stalls.

    Attributes:
        n_tokens: Number of tokens before the stall.
        cancelled: Attempt ids of the cancel calls, in order.
        ran: Attempt ids of the generations, in order.
    """

    __slots__ = ("cancelled", "n_tokens", "ran")

    def __init__(self, n_tokens: int) -> None:
        self.n_tokens = n_tokens
        self.cancelled: list[str] = []
        self.ran: list[str] = []

    def app(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        body = json.loads(environ["wsgi.input"].read() or b"{}")
        if environ["PATH_INFO"] == "/v1/cancel":
            self.cancelled.append(body["id"])
            start("200 OK", [("Content-Type", "application/json")])
            return [b"{}"]
        if environ["PATH_INFO"] != "/v1/generate":
            start("404 Not Found", [("Content-Type", "application/json")])
            return [b"{}"]
        self.ran.append(body["id"])
        start("200 OK", [("Content-Type", "text/event-stream")])
        return self._events()

    def _events(self) -> Iterator[bytes]:
        for index in range(self.n_tokens):
            yield f"data: {json.dumps({'token': f' t{index}'})}\n\n".encode()
        # The server sends the status line with the first data: an SSE comment
        # forces it out even if there is no token.
        yield b": silence\n\n"
        Event().wait()


class OddService:
    """A plain service with unusual responses, selected by the path.

    Attributes:
        paths: Request paths as received, before percent-decoding.
        ran: Decoded paths of the requests, in order.
    """

    __slots__ = ("paths", "ran")

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.ran: list[str] = []

    def app(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        self.paths.append(environ["RAW_PATH_INFO"])
        self.ran.append(environ["PATH_INFO"])
        answer = getattr(self, "_" + environ["PATH_INFO"].strip("/"), self._plain)
        body: Iterable[bytes] = answer(start)
        return body

    def _plain(self, start: Any) -> Iterable[bytes]:
        start("200 OK", [("Content-Type", "text/plain")])
        return [b"plain"]

    def _headers(self, start: Any) -> Iterable[bytes]:
        start(
            "200 OK",
            [
                ("Connection", "X-Private"),
                ("X-Private", "of this connection"),
                ("Keep-Alive", "timeout=5"),
                ("X-Request-Id", "of the service"),
                ("X-Error-Kind", "internal"),
                ("Set-Cookie", "a=1"),
                ("Set-Cookie", "b=2"),
                ("ETag", '"7"'),
            ],
        )
        return [b"headers"]

    def _gzip(self, start: Any) -> Iterable[bytes]:
        start("200 OK", [("Content-Encoding", "gzip")])
        return [gzip.compress(b"compressed", mtime=0)]

    def _empty(self, start: Any) -> Iterable[bytes]:
        start("204 No Content", [])
        return []

    def _sized(self, start: Any) -> Iterable[bytes]:
        start("200 OK", [("Content-Length", "7")])
        return [b"1234567"]

    def _cut(self, start: Any) -> Iterator[bytes]:
        start("200 OK", [("Content-Length", "100")])
        yield b"not all"
        raise RuntimeError("cut off")

    def _huge(self, start: Any) -> Iterable[bytes]:
        start("200 OK", [])
        return [b"x" * (3 << 20)]


class RawCaller:
    """A caller that sends raw bytes over TCP."""

    __slots__ = ("sock",)

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), SOCKET_TIMEOUT_S)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read_until(self, delimiter: bytes) -> bytes:
        """Return data up to at least `delimiter`, or all until the gateway closes."""
        data = b""
        while delimiter not in data:
            chunk = self.sock.recv(RECEIVE_BYTES)
            if not chunk:
                break
            data += chunk
        return data

    def close(self) -> None:
        self.sock.close()


class RawPeer:
    """A peer that sends arbitrary frames over TCP."""

    __slots__ = ("codec", "reader", "sock")

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port), SOCKET_TIMEOUT_S)
        self.codec = MsgpackCodec()
        self.reader = FrameReader(self.sock, self.codec)

    def send(self, frame: Frame) -> None:
        self.sock.sendall(self.codec.encode(frame))

    def wait_until_closed(self) -> bool:
        """Return whether the other side closes the connection.

        False if it stays open for SOCKET_TIMEOUT_S.
        """
        try:
            while self.sock.recv(RECEIVE_BYTES):
                continue
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False
        return True
