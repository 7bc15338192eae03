"""Read from peers that may send without end."""

import contextlib
import errno
import socket
import time
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket

from ..errors import OversizedMessageError

BYTES_PER_TURN = 16_384
"""Bytes that a socket reads before other green threads run. Their parsing takes a few
milliseconds, far less than the loop may stand still."""

ACCEPT_RETRY_S = 0.05
"""Pause after a connection could not be accepted for want of descriptors or memory."""

_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

MIN_BYTES_PER_READ = 256
"""Bytes that a read counts at least, so that many short reads end a turn as well."""


def connect(address: tuple[str, int]) -> "FairSocket":
    """Return a socket that is connected to an IP address and port.

    Raises:
        OSError: If nothing listens there or can be reached.
    """
    sock = FairSocket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock


class FairSocket(GreenSocket):  # type: ignore[misc]
    """Green socket that bounds how much and how long a peer may send.

    A plain green socket lets other green threads run only when it has no data. Reads
    from a peer that always has more would keep the loop, its timers and all deadlines
    from running.

    The arguments are those of `socket.socket`, or a socket to wrap.

    Attributes:
        n_received: Bytes that were read so far.
    """

    def __init__(self, family: Any = socket.AF_INET, *args: Any, **kwargs: Any) -> None:
        super().__init__(family, *args, **kwargs)
        self.n_received = 0
        self._n_turn_bytes = 0
        self._n_bytes_left: int | None = None
        self._deadline: float | None = None
        self._next_read_s: float | None = None
        self._next_read_by = 0.0
        self._stall_s: float | None = None
        self._on_stall: Callable[[], None] | None = None

    def accept(self) -> tuple["FairSocket", Any]:
        """Return the next connection; wait while descriptors or memory are short.

        A server whose `accept` fails would end for all its clients.
        """
        while True:
            try:
                conn: tuple[FairSocket, Any] = super().accept()
            except OSError as exc:
                if exc.errno not in _EXHAUSTED:
                    raise
                eventlet.sleep(ACCEPT_RETRY_S)
            else:
                return conn

    def limit_stall(
        self, seconds: float | None, on_stall: Callable[[], None] | None = None
    ) -> None:
        """Set how long the peer may take nothing of what is sent to it.

        Args:
            seconds: Time after which the connection is shut down, None for no bound.
            on_stall: Called before.
        """
        self._stall_s = seconds
        self._on_stall = on_stall

    def limit_bytes(self, n_bytes: int | None) -> None:
        """Set how many bytes may be read from now on, None for no bound."""
        self._n_bytes_left = n_bytes

    def limit_time(self, seconds: float | None) -> None:
        """Set in how many seconds all reads must be done, None for no bound.

        Unlike the timeout of a socket, which a peer can put off by a byte now and then,
        this time runs from now on, whatever arrives.
        """
        self._deadline = None if seconds is None else time.monotonic() + seconds
        self._next_read_s = None

    def limit_progress(self, stall_s: float, seconds: float) -> None:
        """Set how long reads may take while bytes arrive.

        The time that this process takes until it reads on does not count as a stall.

        Args:
            stall_s: Longest time until the next bytes arrive.
            seconds: Time from now on in which all reads must be done.
        """
        self.limit_time(seconds)
        self._next_read_s = stall_s
        self._next_read_by = time.monotonic() + stall_s

    def abort(self, how: int = socket.SHUT_RDWR) -> None:
        """Shut the connection down, which wakes a thread that waits for it.

        Args:
            how: Direction, as `socket.shutdown` takes it.
        """
        # The peer may have closed the connection already.
        with contextlib.suppress(OSError):
            self.shutdown(how)

    def gettimeout(self) -> float | None:
        """Return the timeout of the next read in seconds, None for no timeout."""
        timeout_s: float | None = super().gettimeout()
        if self._deadline is None:
            return timeout_s
        until = self._deadline
        if self._next_read_s is not None:
            until = min(until, self._next_read_by)
        left_s = max(0.0, until - time.monotonic())
        return left_s if timeout_s is None else min(timeout_s, left_s)

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Receive bytes within the limits; see `_take_turn` for the errors."""
        data: bytes = super().recv(bufsize, flags)
        if not flags & socket.MSG_PEEK:
            self._take_turn(len(data))
        return data

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive bytes into a buffer; see `_take_turn` for the errors."""
        n_bytes: int = super().recv_into(buffer, nbytes, flags)
        self._take_turn(n_bytes)
        return n_bytes

    def recvfrom(self, bufsize: int, flags: int = 0) -> tuple[bytes, Any]:
        """Receive a datagram; see `_take_turn` for the errors."""
        data, address = super().recvfrom(bufsize, flags)
        self._take_turn(len(data))
        return data, address

    def _trampoline(self, fd: Any, **kwargs: Any) -> Any:
        # The base class waits here until the socket can be read or written.
        if not kwargs.get("write") or self._stall_s is None:
            return super()._trampoline(fd, **kwargs)
        kwargs["timeout"] = self._stall_s
        try:
            return super()._trampoline(fd, **kwargs)
        except TimeoutError:
            if self._on_stall is not None:
                self._on_stall()
            # What is buffered for the peer would be tried again before the close.
            self.abort()
            raise

    def _take_turn(self, n_bytes: int) -> None:
        """Count bytes that were read; let other green threads run after a turn.

        Raises:
            OversizedMessageError: If the peer has sent more than it may.
            TimeoutError: If the deadline of the peer's bytes has passed.
        """
        if not n_bytes:
            return
        self.n_received += n_bytes
        self._n_turn_bytes += max(n_bytes, MIN_BYTES_PER_READ)
        if self._n_turn_bytes >= BYTES_PER_TURN:
            self._n_turn_bytes = 0
            eventlet.sleep(0)
        if self._deadline is not None and time.monotonic() > self._deadline:
            raise TimeoutError("the peer did not finish its message in time")
        if self._next_read_s is not None:
            self._next_read_by = time.monotonic() + self._next_read_s
        if self._n_bytes_left is None:
            return
        self._n_bytes_left -= n_bytes
        if self._n_bytes_left < 0:
            raise OversizedMessageError("the peer sent more bytes than a message has")
