"""Fixtures that the scenarios share."""

from collections.abc import Iterator

from behave import fixture
from behave.runner import Context

from hawthornyard.demo import Client, Deployment
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.front import HttpServer
from hawthornyard.platform import HttpHosts, HttpObjects, HttpTable, HttpWeights
from hawthornyard.rim import MonotonicClock
from hawthornyard.standins import (
    HostStandIn,
    MemoryTable,
    ObjectStandIn,
    TableStandIn,
    WeightModel,
    WeightStandIn,
)
from hawthornyard.standins.web import WebApp


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


class PlatformServices:
    """Stand-ins of the platform on loopback, and clients of them."""

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
        self.objects_standin = ObjectStandIn()
        self.hosts_standin = HostStandIn()
        apps = {
            "table": self.table_standin.app,
            "objects": self.objects_standin.app,
            "weights": WeightStandIn(WeightModel(MonotonicClock())).app,
            "hosts": self.hosts_standin.app,
        }
        self.urls = {name: serve_standin(app) for name, app in apps.items()}
        self.table = HttpTable(self.urls["table"], read_timeout_s=0.5)
        self.objects = HttpObjects(self.urls["objects"])
        self.weights = HttpWeights(self.urls["weights"])
        self.hosts = HttpHosts(self.urls["hosts"])


def serve_standin(app: WebApp) -> str:
    """Serve a stand-in on loopback and return its URL."""
    server = HttpServer((LOOPBACK, 0), app)
    server.start()
    return f"http://{LOOPBACK}:{server.port}"


@fixture
def platform(context: Context) -> Iterator[PlatformServices]:
    """Every service of the platform."""
    context.platform = PlatformServices()
    yield context.platform
