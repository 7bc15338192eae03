"""Open listening sockets."""

import os
import socket
from typing import Any

from ..errors import SettingsError
from ..net import FairSocket

BACKLOG = 1024


def listen(address: tuple[str, int]) -> Any:
    """Return a listening socket that shares its port with no other process.

    The sockets that it accepts are fair as well.

    Args:
        address: IP address and port; port 0 picks a free one.

    Raises:
        SettingsError: If the address is in use, invalid or not this host's.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = FairSocket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(BACKLOG)
    except (OSError, OverflowError) as exc:
        sock.close()
        raise SettingsError(
            f"can't listen on {host}:{port}: {_describe_error(exc)}"
        ) from exc
    # Accepted sockets inherit the option; Nagle's algorithm would delay tokens.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _describe_error(exc: Exception) -> str:
    if isinstance(exc, OSError) and exc.errno is not None:
        return os.strerror(exc.errno)
    return str(exc)
