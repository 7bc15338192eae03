"""Find free ports on loopback."""

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
PORTS = range(15_000, 32_000)
"""Below those that the system gives to outgoing connections."""
BLOCK = 200
"""Ports of one soak; several run beside one another."""

_first = PORTS.start + os.getpid() * BLOCK % len(PORTS)
# A port is given once: what it was given for may not listen on it yet.
_next = itertools.cycle(range(_first, min(_first + BLOCK, PORTS.stop)))


def free_ports(n: int) -> list[int]:
    """Return ports that nothing listens on.

    Args:
        n: How many.
    """
    return list(itertools.islice(filter(_is_free, _next), n))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
