"""A gateway process on loopback, with a stand-in of its store in this process."""

import contextlib
import json
from pathlib import Path
from typing import Any

import eventlet

from features.support.scripted import exchange
from hawthornyard.front import HttpServer
from hawthornyard.io import ReservedPort
from hawthornyard.platform.standins import PlatformStoreApp
from soak.deployment import gateway_settings
from soak.loopback import LOOPBACK
from soak.process import Process

START_TIMEOUT_S = 10.0
_PROBE = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class GatewayProcess:
    """A gateway process and its store.

    Args:
        folder: Folder of its log and settings.
        config: Configuration that operators wrote.
        limits: Limits of its machine.

    Attributes:
        process: Process of the gateway.
        store: Stand-in of the store.
    """

    __slots__ = ("_ports", "_server", "process", "store")

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],
        *,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.store = PlatformStoreApp()
        self.store.put("op", "config", config)
        self._server = HttpServer((LOOPBACK, 0), self.store)
        self._server.start()
        self._ports = [ReservedPort(LOOPBACK), ReservedPort(LOOPBACK)]
        front, ready = self._ports
        settings = gateway_settings(
            "gateway-1", "domain-1", front.address, ready.address, self._server.port
        )
        if limits is not None:
            settings["limits"] = limits
        path = folder / "gateway.json"
        path.write_text(json.dumps(settings))
        self.process = Process(
            folder / "gateway.log",
            ["-m", "hawthornyard.platform"],
            {"HAWTHORNYARD_NODE_FILE": str(path)},
        )

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return self._ports[0].number

    @property
    def ready_port(self) -> int:
        """Return the port for probes."""
        return self._ports[1].number

    def add_entry(self, name: str, address: str, **fields: Any) -> None:
        """Write the entry of an endpoint, as the endpoint does."""
        entry = {"address": address, "zone": "domain-1", "state": "ready", "born": 1}
        self.store.put("servers", name, {**entry, **fields})

    def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.process.start()
        with eventlet.Timeout(START_TIMEOUT_S):
            while not self.is_ready():
                eventlet.sleep(0.05)

    def is_ready(self) -> bool:
        """Return whether the readiness port answers with status 200."""
        with contextlib.suppress(OSError):
            return exchange(self._ports[1].number, _PROBE).startswith(b"HTTP/1.1 200")
        return False

    def send(self, data: bytes) -> bytes:
        """Send one request and return what comes back."""
        with contextlib.suppress(OSError):
            return exchange(self.port, data)
        return b""

    def close(self) -> None:
        """End the process and its store."""
        self.process.kill()
        self._server.close()
        for port in self._ports:
            port.close()
