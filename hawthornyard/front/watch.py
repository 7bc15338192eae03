"""Detect callers that close their connection."""

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import hubs
from loguru import logger

# While a pipelined request waits to be read, the socket stays readable and does not
# signal the close, so the TCP state is polled.
STATE_POLL_INTERVAL_S = 0.5
_TCP_ESTABLISHED = 1  # From Linux's tcp_states.h.


class CallerWatch:
    """A watch on a caller's connection that calls back once when it is closed.

    Args:
        sock: The caller's socket.
        on_gone: Called in the watch's own green thread.
    """

    __slots__ = ("_on_gone", "_sock", "_thread")

    def __init__(self, sock: Any, on_gone: Callable[[], None]) -> None:
        self._sock = sock
        self._on_gone = on_gone
        self._thread = eventlet.spawn(self._run)

    def close(self) -> None:
        """Stop watching, so that the server can read from the socket again."""
        self._thread.kill()

    def _run(self) -> None:
        try:
            hubs.trampoline(self._sock.fileno(), read=True)
            if self._sock.recv(1, socket.MSG_PEEK):
                self._wait_for_close()
        except OSError as exc:
            logger.bind(detail=str(exc)).debug("caller_lost")
        self._on_gone()

    def _wait_for_close(self) -> None:
        while self._tcp_state() == _TCP_ESTABLISHED:
            eventlet.sleep(STATE_POLL_INTERVAL_S)

    def _tcp_state(self) -> int:
        info: bytes = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0]
