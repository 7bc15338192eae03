"""Open listening sockets."""

import os
import socket
from typing import Any

import eventlet

from ..errors import SettingsError

BACKLOG = 1024


def listen(address: tuple[str, int]) -> Any:
    """Return a socket that listens on an address of its own.

    Args:
        address: IP number and port; port 0 picks a free one.

    Raises:
        SettingsError: If the address is in use or not this host's.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        # eventlet would share the port with another process by default.
        sock = eventlet.listen(
            address, family=family, backlog=BACKLOG, reuse_port=False
        )
    except (OSError, OverflowError) as exc:
        raise SettingsError(f"can't listen on {host}:{port}: {_reason(exc)}") from exc
    # Accepted sockets inherit it; a held back token is a late token.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _reason(exc: Exception) -> str:
    if isinstance(exc, OSError) and exc.errno is not None:
        return os.strerror(exc.errno)
    return str(exc)
