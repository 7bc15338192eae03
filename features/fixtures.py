"""Fixtures that the scenarios share."""

import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

from behave import fixture
from behave.runner import Context

from features.support.fakes import N_TOKENS_BEFORE_SILENCE, OddService, SilentEngine
from features.support.operator import Operator
from features.support.peers import PeerPair
from features.support.processes import Processes, temporary_folder
from hawthornyard.demo import Client, Deployment
from hawthornyard.demo.deployment import EndpointHost
from hawthornyard.records import Document, new_key
from hawthornyard.standins import TableStandIn


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
    """Two endpoints and two gateways, the second with its own way to the table."""
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
    """Two gateways, an engine and an odd plain service; a second team."""
    deployment = Deployment()
    deployment.add_engine("scribe-1", "new-kingston", step_s=0.02)
    service = OddService()
    host = EndpointHost("frontdesk-1", "new-kingston", "http", service)
    deployment.hosts[host.name] = host
    _finish(context, deployment)
    context.odd_service = service
    yield deployment


@fixture
def silent_engine(context: Context) -> Iterator[Deployment]:
    """Two gateways before an engine that stops generating."""
    deployment = Deployment()
    context.engine = SilentEngine(N_TOKENS_BEFORE_SILENCE)
    host = EndpointHost("scribe-1", "new-kingston", "generation", context.engine)
    deployment.hosts[host.name] = host
    _finish(context, deployment)
    yield deployment


def _finish(context: Context, deployment: Deployment) -> None:
    deployment.add_gateway("gateway-1", "new-kingston")
    deployment.add_gateway("gateway-2", "half-way-tree")
    deployment.apply([*deployment.documents(), _portal_team(context)])
    deployment.wait_ready()
    context.deployment = deployment
    context.client = Client(deployment.url(0), deployment.key)
    context.other_client = Client(deployment.url(1), deployment.key)


def _portal_team(context: Context) -> Document:
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
    """A table, an engine, a sidecar and a gateway, each a process of its own."""
    with temporary_folder() as folder:
        context.processes = Processes(Path(folder))
        try:
            context.processes.start_all()
            yield context.processes
        finally:
            context.processes.kill()


@fixture
def operator(context: Context) -> Iterator[Operator]:
    """An operator with an empty table service, named by the environment."""
    with tempfile.TemporaryDirectory() as folder:
        context.operator = Operator(Path(folder))
        os.environ["HAWTHORNYARD_TABLE"] = context.operator.table_url
        yield context.operator
        del os.environ["HAWTHORNYARD_TABLE"]


@fixture
def peer_pair(context: Context) -> Iterator[PeerPair]:
    """A listening peer."""
    context.pair = PeerPair()
    yield context.pair
