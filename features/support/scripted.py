"""Endpoints and callers that exchange given bytes over TCP."""

import re
import socket
import struct
from typing import Any

import eventlet

TIMEOUT_S = 5.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


class ScriptedEndpoint:
    """An endpoint that answers each request with the next scripted response.

    Attributes:
        answers: Responses in order, the last one repeated; `{id}` stands for the
            request identifier.
        close_mode: "reset" to reset the connection after the response; any other
            value closes it.
        requests: Requests received.
    """

    __slots__ = ("_sock", "answers", "close_mode", "requests")

    def __init__(self, answers: list[bytes], close_mode: str) -> None:
        self._sock = eventlet.listen(("127.0.0.1", 0))
        self.answers = answers
        self.close_mode = close_mode
        self.requests: list[bytes] = []
        eventlet.spawn_n(self._run)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._sock.getsockname()[1]}"

    def close(self) -> None:
        self._sock.close()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock: Any) -> None:
        with eventlet.Timeout(TIMEOUT_S, False):
            request = read_message(sock)
            self.requests.append(request)
            answer = self.answers[min(len(self.requests), len(self.answers)) - 1]
            request_id = _header(request, b"x-hawthornyard-request-id")
            sock.sendall(answer.replace(b"{id}", request_id))
            if self.close_mode == "reset":
                # A reset discards unread data: the response must arrive first.
                eventlet.sleep(0.1)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        sock.close()


class UnreachableEndpoint:
    """An endpoint that completes no connection, like a host without power."""

    __slots__ = ("_fillers", "_sock", "requests")

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self._sock: Any = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(0)
        # Overfill the accept queue, so that the system drops further SYNs.
        self._fillers = [self._connect_filler() for _ in range(3)]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._sock.getsockname()[1]}"

    def close(self) -> None:
        for sock in (self._sock, *self._fillers):
            sock.close()

    def _connect_filler(self) -> Any:
        sock: Any = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self._sock.getsockname())
        return sock


def read_message(sock: Any) -> bytes:
    """Read one HTTP message with Content-Length.

    Returns what was read if the connection ends early.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length_match = _CONTENT_LENGTH.search(head)
    n_bytes = int(length_match[1]) if length_match else 0
    while len(body) < n_bytes:
        chunk = sock.recv(65536)
        if not chunk:
            break
        body += chunk
    return head + b"\r\n\r\n" + body


def exchange(port: int, data: bytes) -> bytes:
    """Send bytes and return all data until the connection ends or times out."""
    sock = eventlet.connect(("127.0.0.1", port))
    try:
        sock.sendall(data)
        chunks = []
        with eventlet.Timeout(TIMEOUT_S, False):
            while chunk := sock.recv(65536):
                chunks.append(chunk)
        return b"".join(chunks)
    finally:
        sock.close()


def _header(request: bytes, name: bytes) -> bytes:
    for line in request.split(b"\r\n"):
        field, _, value = line.partition(b":")
        if field.strip().lower() == name:
            return value.strip()
    return b""
