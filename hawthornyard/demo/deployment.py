"""Compose a deployment in one process, on loopback addresses and one event loop."""

import secrets
from collections.abc import Callable, Sequence
from typing import Any

import eventlet

from ..front import HttpServer
from ..gateway.program import Gateway
from ..io import ReservedPort
from ..operator import apply_documents
from ..records import Document, new_key
from ..settings import GatewaySettings, SidecarSettings
from ..sidecar.program import Sidecar
from ..standins import (
    EngineModel,
    EngineStandIn,
    MemoryTable,
    OrderModel,
    ServiceStandIn,
    TableStandIn,
)
from ..stores import HttpTableStore

LOOPBACK = "127.0.0.1"
ANY_PORT = f"{LOOPBACK}:0"
PEER_KEY = secrets.token_hex(16).encode()
"""Drawn anew by each process, whose gateways a deployment of another one refuses."""

GATEWAY_NAMES = ("gateway-1", "gateway-2", "gateway-3")
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 20.0


class EndpointHost:
    """A host with a stand-in endpoint and its sidecar.

    Attributes:
        name: Name of the endpoint record.
        failure_domain: Failure domain of the host.
        standin: The stand-in engine or plain service.
        server: HTTP server of the stand-in.
        sidecar: The sidecar, which is started with the host.
        protocol: "generation" or "http".
    """

    __slots__ = ("failure_domain", "name", "protocol", "server", "sidecar", "standin")

    def __init__(
        self,
        name: str,
        failure_domain: str,
        protocol: str,
        standin: EngineStandIn | ServiceStandIn,
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.protocol = protocol
        self.standin = standin
        self.server = _start_server(standin.app)
        self.sidecar = Sidecar(
            SidecarSettings(
                name,
                failure_domain,
                ANY_PORT,
                f"http://{LOOPBACK}:{self.server.port}",
                protocol,
                PEER_KEY,
            )
        )
        self.sidecar.start()


class Deployment:
    """Stand-ins, sidecars and gateways that share one event loop.

    Attributes:
        table: Stand-in table service.
        hosts: Hosts by the name of their endpoint.
        gateways: Gateways in the order in which they were started.
        key: Key of the team "kiosk".
    """

    __slots__ = (
        "_key_hash",
        "_peer_ports",
        "_table_url",
        "gateways",
        "hosts",
        "key",
        "table",
    )

    def __init__(self) -> None:
        self.table = TableStandIn(MemoryTable())
        self._table_url = _url(_start_server(self.table.app))
        self._peer_ports = {name: ReservedPort(LOOPBACK) for name in GATEWAY_NAMES}
        self.hosts: dict[str, EndpointHost] = {}
        self.gateways: list[Gateway] = []
        self.key, self._key_hash = new_key("kiosk")

    def add_engine(
        self, name: str, failure_domain: str, *, step_s: float = 0.02
    ) -> EndpointHost:
        """Start a stand-in engine, whose steps take `step_s`, and its sidecar."""
        standin = EngineStandIn(
            EngineModel(step_s=step_s), OrderModel(loaded={"scribe": ""})
        )
        eventlet.spawn_n(standin.run)
        host = EndpointHost(name, failure_domain, "generation", standin)
        self.hosts[name] = host
        return host

    def add_service(self, name: str, failure_domain: str) -> EndpointHost:
        """Start a stand-in plain service and its sidecar."""
        host = EndpointHost(name, failure_domain, "http", ServiceStandIn())
        self.hosts[name] = host
        return host

    def add_gateway(
        self, name: str, failure_domain: str, *, table: TableStandIn | None = None
    ) -> Gateway:
        """Start a gateway.

        Args:
            name: One of `GATEWAY_NAMES`.
            failure_domain: Failure domain of the gateway.
            table: Table service that only this gateway uses; None for the one of the
                deployment.
        """
        url = self._table_url if table is None else _url(_start_server(table.app))
        settings = GatewaySettings(
            name,
            failure_domain,
            ANY_PORT,
            url,
            PEER_KEY,
            peer_listen=self._peer_ports[name].address,
            peers={
                peer: port.address
                for peer, port in self._peer_ports.items()
                if peer != name
            },
        )
        gateway = Gateway(settings, HttpTableStore(url))
        gateway.start()
        self.gateways.append(gateway)
        return gateway

    def apply(self, documents: Sequence[Document]) -> int:
        """Apply records through the table service; return their revision."""
        return apply_documents(HttpTableStore(self._table_url), documents)

    def url(self, index: int = 0) -> str:
        """Return the URL of the gateway at an index of `gateways`."""
        return f"http://{LOOPBACK}:{self.gateways[index].port}"

    def peer_address(self, name: str) -> str:
        """Return the "address:port" at which other gateways connect to a gateway."""
        return self._peer_ports[name].address

    def documents(self) -> list[Document]:
        """Return the records of the hosts, their failure domains, services and team."""
        domains = sorted({host.failure_domain for host in self.hosts.values()})
        documents = [
            _document("failure_domain", 1, name, {"region": "kingston"})
            for name in domains
        ]
        documents += [
            _document("model", 1, "scribe", {"context_tokens": 8192}),
            _document("service", 1, "summaries", _SUMMARIES_SPEC),
            _document("service", 2, "frontdesk", _FRONTDESK_SPEC),
            _document("team", 1, "kiosk", self._team_spec()),
        ]
        documents += [_endpoint_document(host) for host in self.hosts.values()]
        return documents

    def wait_ready(self) -> None:
        """Wait until every gateway sees every endpoint as accepting requests.

        Raises:
            TimeoutError: If that takes longer than `WAIT_TIMEOUT_S`.
        """
        wait_until(
            lambda: all(
                sum(view.accepting for view in gateway.fleet.views()) == len(self.hosts)
                for gateway in self.gateways
            )
        )

    def _team_spec(self) -> dict[str, Any]:
        return {
            "key_hash": self._key_hash,
            "services": ["summaries", "frontdesk"],
            "requests_per_s": 1000,
            "tokens_per_s": 100000,
        }


def wait_until(
    condition: Callable[[], bool], *, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    """Wait until a condition holds, polling it every `POLL_INTERVAL_S`.

    Raises:
        TimeoutError: If it does not hold within `timeout_s`.
    """
    n_polls = round(timeout_s / POLL_INTERVAL_S)
    for _ in range(n_polls):
        if condition():
            return
        eventlet.sleep(POLL_INTERVAL_S)
    raise TimeoutError("the condition did not hold within the timeout")


_SUMMARIES_SPEC = {"protocol": "generation", "models": ["scribe"], "class": "visitor"}

_FRONTDESK_SPEC = {
    "protocol": "http",
    "priority": 9,
    "deadline_s": 10,
    "operations": [
        {"method": "POST", "path": "/badges", "idempotent": False},
        {"method": "GET", "path": "/guests", "idempotent": True},
    ],
}


def _document(kind: str, schema: int, name: str, spec: dict[str, Any]) -> Document:
    return {"kind": kind, "schema": schema, "name": name, "spec": spec}


def _endpoint_document(host: EndpointHost) -> Document:
    spec: dict[str, Any] = {
        "failure_domain": host.failure_domain,
        "sidecar": f"{LOOPBACK}:{host.sidecar.port}",
        "protocol": host.protocol,
    }
    if host.protocol == "generation":
        spec["models"] = ["scribe"]
    else:
        spec["services"] = ["frontdesk"]
    return _document("endpoint", 1, host.name, spec)


def _url(server: HttpServer) -> str:
    return f"http://{LOOPBACK}:{server.port}"


def _start_server(app: Any) -> HttpServer:
    server = HttpServer((LOOPBACK, 0), app)
    server.start()
    return server
