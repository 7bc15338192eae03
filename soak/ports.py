"""Free ports on the loopback interface."""

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"
PORT_RANGE = range(15_000, 32_000)
"""Below the ephemeral ports, which the system gives to outgoing connections."""
PORTS_PER_SOAK = 200
"""Ports of one soak process; several soaks may run at the same time."""

_first_port = PORT_RANGE.start + os.getpid() * PORTS_PER_SOAK % len(PORT_RANGE)
# Each port is handed out once: its owner may not listen on it yet.
_candidates = itertools.cycle(
    range(_first_port, min(_first_port + PORTS_PER_SOAK, PORT_RANGE.stop))
)


def free_ports(n: int) -> list[int]:
    """Return ports that nothing listens on.

    Args:
        n: Number of ports.
    """
    return list(itertools.islice(filter(_is_free, _candidates), n))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
