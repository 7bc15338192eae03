"""Run one gateway as a process."""

import json
import signal
from pathlib import Path
from typing import Any

import eventlet

from .deployment import gateway_settings
from .ports import LOOPBACK, free_ports
from .process import Process
from .relay import Relay

PROBE_INTERVAL_S = 0.25
"""Time between two probes of readiness; the platform takes a second."""
PROBES_UNTIL_UNREADY = 2
PROBE_TIMEOUT_S = 0.5


class Gateway:
    """A gateway, its link to the store and whether it gets new callers.

    Attributes:
        is_restarting: Whether a fault that ends it is under way.
        is_ready: Whether new callers are sent to it.
        store_link: The link to the store.
        name: Its name.
        port: Port for callers.
        process: The process.
    """

    __slots__ = (
        "_ready_port",
        "_settings",
        "_settings_path",
        "is_ready",
        "is_restarting",
        "name",
        "port",
        "process",
        "store_link",
    )

    def __init__(self, folder: Path, name: str, domain: str, store_port: int) -> None:
        self.name = name
        self.store_link = Relay(store_port)
        ports = free_ports(4)
        self.port, self._ready_port = ports[:2]
        self._settings = gateway_settings(name, domain, ports, self.store_link.port)
        self._settings_path = folder / f"{name}.json"
        self.write_settings()
        self.process = Process(
            folder / f"{name}.log",
            ["-m", "hawthornyard.platform"],
            {"HAWTHORNYARD_NODE_FILE": str(self._settings_path)},
        )
        self.is_restarting = False
        self.is_ready = False

    def write_settings(self, **bounds: Any) -> None:
        """Write the settings file, with other bounds if any are given."""
        self._settings["bounds"].update(bounds)
        self._settings_path.write_text(json.dumps(self._settings))

    def reload(self) -> None:
        """Change the settings file and say so."""
        self.write_settings(budget_slack=self._settings["bounds"]["budget_slack"] - 1)
        self.process.signal(signal.SIGHUP)

    def probe_readiness(self) -> None:
        """Ask for its readiness for ever."""
        n_failed = PROBES_UNTIL_UNREADY
        while True:
            n_failed = 0 if self._probe_succeeds() else n_failed + 1
            self.is_ready = n_failed < PROBES_UNTIL_UNREADY
            eventlet.sleep(PROBE_INTERVAL_S)

    def _probe_succeeds(self) -> bool:
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
