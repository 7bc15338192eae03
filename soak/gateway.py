"""Run one gateway as a process."""

import json
import signal
from pathlib import Path
from typing import Any

import eventlet

from .deployment import settings
from .ports import LOOPBACK, free_ports
from .process import Process
from .relay import Relay

PROBE_S = 0.25
"""Time between two probes of readiness; the platform takes a second."""
MISSES = 2
PROBE_TIMEOUT_S = 0.5


class Gateway:
    """A gateway, its link to the store and whether it gets new callers.

    Attributes:
        is_busy: Whether a fault that ends it is under way.
        is_ready: Whether new callers are sent to it.
        link: The link to the store.
        name: Its name.
        port: Port for callers.
        process: The process.
    """

    __slots__ = (
        "_path",
        "_ready_port",
        "_settings",
        "is_busy",
        "is_ready",
        "link",
        "name",
        "port",
        "process",
    )

    def __init__(self, folder: Path, name: str, domain: str, store_port: int) -> None:
        self.name = name
        self.link = Relay(store_port)
        ports = free_ports(4)
        self.port, self._ready_port = ports[:2]
        self._settings = settings(name, domain, ports, self.link.port)
        self._path = folder / f"{name}.json"
        self.write_settings()
        self.process = Process(
            folder / f"{name}.log",
            ["-m", "hawthornyard.platform"],
            {"HAWTHORNYARD_NODE_FILE": str(self._path)},
        )
        self.is_busy = False
        self.is_ready = False

    def write_settings(self, **bounds: Any) -> None:
        """Write the settings file, with other bounds if any are given."""
        self._settings["bounds"].update(bounds)
        self._path.write_text(json.dumps(self._settings))

    def reload(self) -> None:
        """Change the settings file and say so."""
        self.write_settings(budget_slack=self._settings["bounds"]["budget_slack"] - 1)
        self.process.signal(signal.SIGHUP)

    def probe(self) -> None:
        """Ask for its readiness for ever."""
        n_missed = MISSES
        while True:
            n_missed = 0 if self._answers_ready() else n_missed + 1
            self.is_ready = n_missed < MISSES
            eventlet.sleep(PROBE_S)

    def _answers_ready(self) -> bool:
        try:
            with eventlet.Timeout(PROBE_TIMEOUT_S):
                sock = eventlet.connect((LOOPBACK, self._ready_port))
                try:
                    sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                    return bool(sock.recv(12) == b"HTTP/1.1 200")
                finally:
                    sock.close()
        except (OSError, eventlet.Timeout):
            return False
