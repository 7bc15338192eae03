"""Gateway that runs as a process."""

import json
import signal
from pathlib import Path
from typing import Any

import eventlet

from hawthornyard.io import ReservedPort

from .deployment import gateway_settings
from .loopback import LOOPBACK
from .process import Process
from .relay import Relay

PROBE_INTERVAL_S = 0.25
"""Time between readiness probes; the platform probes every second."""
PROBES_UNTIL_UNREADY = 2
"""Failed probes in a row after which a gateway gets no new callers."""
PROBE_TIMEOUT_S = 0.5


class Gateway:
    """A gateway process, its link to the store and its readiness.

    Attributes:
        is_restarting: Whether a fault is stopping and restarting the process.
        is_ready: Whether new callers may connect.
        link: Relay through which the gateway reaches the store.
        name: Name of the gateway.
        port: Port for callers.
        process: The process.
    """

    __slots__ = (
        "_front_port",
        "_ready_port",
        "_settings",
        "_settings_path",
        "is_ready",
        "is_restarting",
        "link",
        "name",
        "port",
        "process",
    )

    def __init__(self, folder: Path, name: str, domain: str, store_port: int) -> None:
        self.name = name
        self.link = Relay(store_port)
        self._front_port = ReservedPort(LOOPBACK)
        self._ready_port = ReservedPort(LOOPBACK)
        self.port = self._front_port.number
        self._settings = gateway_settings(
            name,
            domain,
            self._front_port.address,
            self._ready_port.address,
            self.link.port,
        )
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
        """Write the settings file.

        Args:
            bounds: Fields of the settings' `bounds` to change.
        """
        self._settings["bounds"].update(bounds)
        self._settings_path.write_text(json.dumps(self._settings))

    def reload(self) -> None:
        """Change the settings file and send SIGHUP."""
        self.write_settings(budget_slack=self._settings["bounds"]["budget_slack"] - 1)
        self.process.signal(signal.SIGHUP)

    def probe_readiness(self) -> None:
        """Probe the readiness port forever and update `is_ready`."""
        n_failed = PROBES_UNTIL_UNREADY
        while True:
            n_failed = 0 if self._probe_succeeds() else n_failed + 1
            self.is_ready = n_failed < PROBES_UNTIL_UNREADY
            eventlet.sleep(PROBE_INTERVAL_S)

    def _probe_succeeds(self) -> bool:
        try:
            with eventlet.Timeout(PROBE_TIMEOUT_S):
                sock = eventlet.connect((LOOPBACK, self._ready_port.number))
                try:
                    sock.sendall(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
                    return bool(sock.recv(12) == b"HTTP/1.1 200")
                finally:
                    sock.close()
        except (OSError, eventlet.Timeout):
            return False
