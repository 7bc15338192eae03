"""Behave fixtures shared by the scenarios."""

import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

import eventlet
from behave import fixture
from behave.runner import Context

from features.planning import PlannerWorld
from features.support.edge import EdgeDriver
from features.support.fakes import N_TOKENS_BEFORE_STALL, OddService, StalledEngine
from features.support.operator import Operator
from features.support.peers import ListeningPeer
from features.support.platform_standins import PlatformStandIns
from features.support.platform_world import PlatformWorld
from features.support.processes import Processes, temporary_folder
from hawthornyard.demo import Client, Deployment
from hawthornyard.demo.deployment import ANY_PORT, LOOPBACK, PEER_KEY, EndpointHost
from hawthornyard.front import HttpServer
from hawthornyard.gateway.program import Gateway
from hawthornyard.io import MonotonicClock
from hawthornyard.records import Document, new_key
from hawthornyard.settings import GatewaySettings, SidecarSettings
from hawthornyard.sidecar.program import Sidecar
from hawthornyard.standins import (
    EngineModel,
    EngineStandIn,
    HostListStandIn,
    MemoryTable,
    ObjectStoreStandIn,
    OrderModel,
    TableStandIn,
    WeightModel,
    WeightStoreStandIn,
)
from hawthornyard.standins.web import WebApp
from hawthornyard.stores import (
    HttpHostList,
    HttpObjectStore,
    HttpTableStore,
    HttpWeightStore,
)


@fixture
def kingston(context: Context) -> Iterator[Deployment]:
    """Two engines and two plain services in two failure domains, two gateways."""
    deployment = Deployment()
    for index, domain in enumerate(("new-kingston", "half-way-tree"), start=1):
        deployment.add_engine(f"scribe-{index}", domain, step_s=0.005)
        deployment.add_service(f"frontdesk-{index}", domain)
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree")
    deployment.apply(deployment.documents())
    deployment.wait_ready()
    context.deployment = deployment
    context.client = Client(deployment.url(0), deployment.key)
    context.other_client = Client(deployment.url(1), deployment.key)
    yield deployment


@fixture
def cut_off_gateway(context: Context) -> Iterator[Deployment]:
    """Two engines and two gateways; the second can lose the table service alone."""
    deployment = Deployment()
    deployment.add_engine("scribe-1", "new-kingston", step_s=0.005)
    deployment.add_engine("scribe-2", "half-way-tree", step_s=0.005)
    context.second_table = TableStandIn(deployment.table.table)
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree", table=context.second_table)
    deployment.apply(deployment.documents())
    deployment.wait_ready()
    context.deployment = deployment
    yield deployment


@fixture
def callers(context: Context) -> Iterator[Deployment]:
    """Two gateways, an engine, a plain service with unusual responses, two teams."""
    deployment = Deployment()
    deployment.add_engine("scribe-1", "new-kingston", step_s=0.02)
    service = OddService()
    host = EndpointHost("frontdesk-1", "new-kingston", "http", service)
    deployment.hosts[host.name] = host
    _add_gateways_and_apply(context, deployment)
    context.odd_service = service
    yield deployment


@fixture
def silent_engine(context: Context) -> Iterator[Deployment]:
    """Two gateways and an engine that stalls during generations."""
    deployment = Deployment()
    context.engine = StalledEngine(N_TOKENS_BEFORE_STALL)
    host = EndpointHost("scribe-1", "new-kingston", "generation", context.engine)
    deployment.hosts[host.name] = host
    _add_gateways_and_apply(context, deployment)
    yield deployment


def _add_gateways_and_apply(context: Context, deployment: Deployment) -> None:
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree")
    deployment.apply([*deployment.documents(), _portal_team_document(context)])
    deployment.wait_ready()
    context.deployment = deployment
    context.client = Client(deployment.url(0), deployment.key)
    context.other_client = Client(deployment.url(1), deployment.key)


def _portal_team_document(context: Context) -> Document:
    context.portal_key, key_hash = new_key("portal")
    spec = {
        "key_hash": key_hash,
        "services": ["summaries", "frontdesk"],
        "requests_per_s": 1000,
        "tokens_per_s": 100000,
    }
    return {"kind": "team", "schema": 1, "name": "portal", "spec": spec}


@fixture
def processes(context: Context) -> Iterator[Processes]:
    """A table service, an engine, a sidecar and a gateway, each a process."""
    with temporary_folder() as folder:
        context.processes = Processes(Path(folder))
        try:
            context.processes.start_all()
            yield context.processes
        finally:
            context.processes.kill()


@fixture
def operator(context: Context) -> Iterator[Operator]:
    """An operator with an empty table service, set in HAWTHORNYARD_TABLE."""
    with tempfile.TemporaryDirectory() as folder:
        context.operator = Operator(Path(folder))
        os.environ["HAWTHORNYARD_TABLE"] = context.operator.table_url
        yield context.operator
        del os.environ["HAWTHORNYARD_TABLE"]


@fixture
def peer_pair(context: Context) -> Iterator[ListeningPeer]:
    """A listening peer, to which scenarios open links."""
    context.pair = ListeningPeer()
    yield context.pair


class PlatformServices:
    """Stand-ins of the platform's services on loopback, with their clients.

    Attributes:
        urls: URLs of the stand-ins by service.
    """

    __slots__ = (
        "hosts",
        "hosts_standin",
        "objects",
        "objects_standin",
        "table",
        "table_standin",
        "urls",
        "weights",
    )

    def __init__(self) -> None:
        self.table_standin = TableStandIn(MemoryTable())
        self.objects_standin = ObjectStoreStandIn()
        self.hosts_standin = HostListStandIn()
        apps = {
            "table": self.table_standin.app,
            "objects": self.objects_standin.app,
            "weights": WeightStoreStandIn(WeightModel(MonotonicClock())).app,
            "hosts": self.hosts_standin.app,
        }
        self.urls = {name: serve_standin(app) for name, app in apps.items()}
        self.table = HttpTableStore(self.urls["table"], read_timeout_s=0.5)
        self.objects = HttpObjectStore(self.urls["objects"])
        self.weights = HttpWeightStore(self.urls["weights"])
        self.hosts = HttpHostList(self.urls["hosts"])


def serve_standin(app: WebApp) -> str:
    """Serve a stand-in on loopback and return its URL."""
    server = HttpServer((LOOPBACK, 0), app)
    server.start()
    return f"http://{LOOPBACK}:{server.port}"


@fixture
def platform(context: Context) -> Iterator[PlatformServices]:
    """Stand-ins of all services of the platform."""
    context.platform = PlatformServices()
    yield context.platform


@fixture
def planners(context: Context) -> Iterator[PlannerWorld]:
    """Two planner processes on one table, under a manual clock."""
    context.world = PlannerWorld(2)
    yield context.world


@fixture
def ordered_engines(context: Context) -> Iterator[Deployment]:
    """Two engines that can load either model; one ignores fencing numbers."""
    deployment = Deployment()
    context.engine_names = {"checks": "engine-1", "ignores": "engine-2"}
    for mode, name in context.engine_names.items():
        orders = OrderModel(
            checks_fencing=mode == "checks",
            loaded={"scribe": "", "radgjafi": ""},
        )
        standin = EngineStandIn(EngineModel(step_s=0.005), orders)
        eventlet.spawn_n(standin.run)
        deployment.hosts[name] = EndpointHost(name, mode, "generation", standin)
    table_url = serve_standin(deployment.table.app)
    for index in (1, 2):
        gateway = Gateway(
            GatewaySettings(
                f"gateway-{index}",
                "checks",
                ANY_PORT,
                table_url,
                PEER_KEY,
                planner_lease_s=1.5,
            ),
            HttpTableStore(table_url),
        )
        gateway.start()
        deployment.gateways.append(gateway)
    deployment.apply(two_model_documents(deployment))
    deployment.wait_ready()
    context.deployment = deployment
    context.client = Client(deployment.url(), deployment.key)
    context.replace_sidecar = lambda name: replace_sidecar(deployment, name)
    yield deployment
    for gateway in deployment.gateways:
        gateway.stop()


def two_model_documents(deployment: Deployment) -> list[Document]:
    """Return the records of a deployment, with a second model on all endpoints."""
    documents = deployment.documents()
    for document in documents:
        if "models" in document["spec"]:
            document["spec"]["models"] = ["scribe", "radgjafi"]
    model = {"kind": "model", "schema": 1, "name": "radgjafi"}
    return [*documents, {**model, "spec": {"context_tokens": 8192}}]


def replace_sidecar(deployment: Deployment, name: str) -> None:
    """Stop a sidecar and start a new incarnation on another port."""
    host = deployment.hosts[name]
    host.sidecar.stop()
    host.sidecar = Sidecar(
        SidecarSettings(
            name,
            host.failure_domain,
            ANY_PORT,
            f"http://{LOOPBACK}:{host.server.port}",
            "generation",
            PEER_KEY,
        )
    )
    host.sidecar.start()
    deployment.apply(two_model_documents(deployment))


@fixture
def wide_processes(context: Context) -> Iterator[Processes]:
    """Two gateways, an engine and a slow plain service, each a process."""
    with temporary_folder() as folder:
        context.processes = Processes(Path(folder))
        try:
            context.processes.start_extended()
            yield context.processes
        finally:
            context.processes.kill()


@fixture
def edge(context: Context) -> Iterator[EdgeDriver]:
    """The chain of an edge gateway."""
    context.edge = EdgeDriver()
    yield context.edge


@fixture
def platform_standins(context: Context) -> Iterator[PlatformStandIns]:
    """A stand-in store, to which scenarios add engines."""
    context.standins = PlatformStandIns()
    yield context.standins
    context.standins.close()


@fixture
def platform_world(context: Context) -> Iterator[PlatformWorld]:
    """An edge gateway on loopback with a stand-in of the platform's store."""
    context.world = PlatformWorld()
    yield context.world
    context.world.close()
