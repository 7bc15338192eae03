"""Find free ports on loopback."""

import random
import socket

LOOPBACK = "127.0.0.1"
PORTS = range(15_000, 32_000)
"""Below those that the system gives to outgoing connections."""


def free_ports(n: int) -> list[int]:
    """Return ports that nothing listens on.

    Args:
        n: How many.
    """
    found: list[int] = []
    while len(found) < n:
        port = random.choice(PORTS)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
