"""An edge gateway on loopback with scripted endpoints and a stand-in store."""

from pathlib import Path
from typing import Any

import eventlet

from features.support.scripted import ScriptedEndpoint, UnreachableEndpoint, exchange
from hawthornyard.front import HttpServer
from hawthornyard.platform.program import EdgeGateway
from hawthornyard.platform.settings import EdgeSettings
from hawthornyard.platform.standins import PlatformStoreApp

LOOPBACK_ADDRESS = ("127.0.0.1", 0)
READY_TIMEOUT_S = 5.0
KEY = "key-of-kiosk"
LIMITS = {
    "max_header_bytes": 2000,
    "max_body_bytes": 5000,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 2000,
}


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "kiosk.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "service": "desk",
        "max_attempts": 1,
        **fields,
    }


CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        route("badge", "non_idempotent"),
        route("lookup", "idempotent", max_attempts=2),
        route("summary", "streaming", gap_aim_ms=180),
        route("open", "non_idempotent", public=True),
    ],
    "services": [{"name": "desk", "max_connections": 9, "health_check_path": "/h"}],
    "limits": LIMITS,
    "tenants": [{"name": "kiosk", "api_keys": [KEY], "priority": 1}],
}


class PlatformWorld:
    """A running edge gateway, its store and its endpoints.

    Attributes:
        store: The store stand-in.
        endpoints: Endpoints in the order added.
        gateway: The edge gateway.
        thread: Green thread of the gateway's loop.
    """

    __slots__ = (
        "_settings",
        "_store_server",
        "endpoints",
        "gateway",
        "store",
        "thread",
    )

    def __init__(self, **settings_fields: Any) -> None:
        self.store = PlatformStoreApp()
        self._store_server = HttpServer(LOOPBACK_ADDRESS, self.store)
        self._store_server.start()
        self.endpoints: list[ScriptedEndpoint | UnreachableEndpoint] = []
        self.store.put("op", "config", CONFIG)
        settings = EdgeSettings(
            "gateway-1",
            "domain-1",
            "127.0.0.1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            f"127.0.0.1:{self._store_server.port}",
            repeat_slack=50.0,
            key_max_age_s=5.0,
            **settings_fields,
        )
        self._settings = settings
        self.gateway = EdgeGateway(settings, Path("absent"))
        self.thread = self.gateway.start()

    @property
    def store_address(self) -> str:
        return f"127.0.0.1:{self._store_server.port}"

    def restart_gateway(self) -> None:
        """Replace the gateway by one that knows nothing."""
        self.gateway.close()
        self.gateway = EdgeGateway(self._settings, Path("absent"))
        self.thread = self.gateway.start()

    def add_endpoint(self, answers: list[bytes], close_mode: str = "close") -> None:
        endpoint = ScriptedEndpoint(answers, close_mode)
        self.endpoints.append(endpoint)
        self.add_entry(f"i-{len(self.endpoints)}", endpoint.address)

    def add_unreachable_endpoint(self) -> None:
        endpoint = UnreachableEndpoint()
        self.endpoints.append(endpoint)
        self.add_entry(f"i-{len(self.endpoints)}", endpoint.address)

    def add_entry(self, name: str, address: str, **fields: Any) -> None:
        self.store.put(
            "servers",
            name,
            {
                "service": "desk",
                "address": address,
                "zone": "domain-1",
                "slots": 6,
                "state": "ready",
                "born": 1,
                **fields,
            },
        )

    def wait_ready(self) -> None:
        """Wait until the gateway is ready and knows all endpoints."""
        n_expected = len(self.endpoints)
        with eventlet.Timeout(READY_TIMEOUT_S):
            while not (
                self.gateway.is_ready()
                and len(self.gateway.state.endpoints) >= n_expected
            ):
                eventlet.sleep(0.01)

    def send(self, data: bytes) -> bytes:
        return exchange(self.gateway.port, data)

    def close(self) -> None:
        self.gateway.close()
        self._store_server.close()
        for endpoint in self.endpoints:
            endpoint.close()
