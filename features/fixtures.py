"""Fixtures that the scenarios share."""

from collections.abc import Iterator

from behave import fixture
from behave.runner import Context

from hawthornyard.demo import Client, Deployment
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
