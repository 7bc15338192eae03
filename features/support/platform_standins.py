"""Stand-ins of the platform, served on loopback for one scenario."""

import json
from typing import Any

import urllib3

from hawthornyard.front import HttpServer
from hawthornyard.platform.names import (
    BACKUP_HEADER,
    COPY_PATH,
    COPY_SOURCE_HEADER,
    LAST_EVENT_ID_HEADER,
    REPORT_PATH,
    REQUEST_ID_HEADER,
    TOKEN_COUNTS_HEADER,
)
from hawthornyard.platform.standins import EndpointStandIn, Journal, PlatformStoreApp
from hawthornyard.platform.standins.endpoint import BEHAVIOUR_PATH, TOKENS_PER_EVENT
from hawthornyard.platform.store import PlatformStore

LOOPBACK_ADDRESS = ("127.0.0.1", 0)
TABLE = "gateways"
STEP_S = 0.01


class PlatformStandIns:
    """The store stand-in, its client and engine stand-ins.

    Attributes:
        store: The store stand-in.
        client: Client of the store.
        addresses: Addresses of engines by name.
    """

    __slots__ = ("_servers", "addresses", "client", "store")

    def __init__(self) -> None:
        self.store = PlatformStoreApp()
        server = HttpServer(LOOPBACK_ADDRESS, self.store)
        server.start()
        self._servers = [server]
        self.client = PlatformStore(f"127.0.0.1:{server.port}")
        self.addresses: dict[str, str] = {}

    def add_engine(self, name: str) -> None:
        engine = EndpointStandIn(name, Journal(None), step_s=STEP_S, copy_s=0.02)
        server = HttpServer(LOOPBACK_ADDRESS, engine)
        server.start()
        self._servers.append(server)
        self.addresses[name] = f"127.0.0.1:{server.port}"

    def close(self) -> None:
        for server in self._servers:
            server.close()

    def start_stream(
        self,
        name: str,
        n_events: int,
        *,
        mirror: str = "",
        handle: str = "",
        last_event: int = 0,
    ) -> Any:
        """Start a summary at an engine and return the streaming response.

        Args:
            name: Name of the engine.
            n_events: Number of events to generate.
            mirror: Engine that keeps a backup, empty for none.
            handle: Handle of a copy to resume from, empty for a new summary.
            last_event: Last event delivered before the resume.
        """
        headers = {
            REQUEST_ID_HEADER: "r-1",
            TOKEN_COUNTS_HEADER: f"100,{n_events * TOKENS_PER_EVENT}",
        }
        if mirror:
            headers[BACKUP_HEADER] = self.addresses[mirror]
        if handle:
            headers[COPY_SOURCE_HEADER] = f"{self.addresses[name]}/{handle}"
            headers[LAST_EVENT_ID_HEADER] = str(last_event)
        return self.call("POST", name, "/summary/1", headers=headers, stream=True)

    def copy(self, source: str, target: str) -> dict[str, Any]:
        """Copy the summary's state to another engine and return the answer."""
        body = {"id": "r-1", "to": self.addresses[target], "last": True}
        resp = self.call("POST", source, COPY_PATH, json.dumps(body).encode())
        assert resp.status == 200, (resp.status, resp.data)
        answer: dict[str, Any] = json.loads(resp.data)
        return answer

    def set_behaviour(self, name: str, **fields: Any) -> None:
        self.call("POST", name, BEHAVIOUR_PATH, json.dumps(fields).encode())

    def report(self, name: str) -> bytes:
        data: bytes = self.call("GET", name, REPORT_PATH).data
        return data

    def call(
        self,
        method: str,
        name: str,
        path: str,
        body: bytes | None = None,
        *,
        headers: dict[str, str] | None = None,
        stream: bool = False,
    ) -> Any:
        return urllib3.PoolManager(retries=False).request(
            method,
            f"http://{self.addresses[name]}{path}",
            body=body,
            headers=headers or {REQUEST_ID_HEADER: "r-1"},
            preload_content=not stream,
        )
