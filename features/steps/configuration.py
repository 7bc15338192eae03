"""Steps for the distribution of records to gateways and sidecars."""

import json
import random

from behave import given, then, when
from behave.runner import Context

from hawthornyard.core import Decision, Message, Pipeline
from hawthornyard.demo import Client, wait_until
from hawthornyard.frames import ConfigPull, ConfigPush, RecordEntry
from hawthornyard.records import Catalog
from hawthornyard.sidecar.fleet import ApplyRecords
from hawthornyard.sidecar.messages import ConfigChanged

SEED = 20261204
N_REVISIONS = 8
N_DOMAINS = 3


@given("the second gateway can't reach the table")
def cut_off_table(context: Context) -> None:
    context.second_table.faults.is_down = True


@given("the table is down")
def stop_table(context: Context) -> None:
    context.deployment.table.faults.is_down = True


@when("a third gateway starts")
def start_third(context: Context) -> None:
    context.third = context.deployment.add_gateway("gateway-3", "new-kingston")


@when('operators take "{domain}" out')
def take_out(context: Context, domain: str) -> None:
    context.revision = context.deployment.apply(
        [_domain_document(domain, in_service=False)]
    )


@when('operators bring "{domain}" back')
def bring_back(context: Context, domain: str) -> None:
    context.revision = context.deployment.apply(
        [_domain_document(domain, in_service=True)]
    )


@then("the change is in force at every gateway and sidecar within {seconds:d} seconds")
def check_in_force(context: Context, seconds: int) -> None:
    gateways = [gateway.catalog for gateway in context.deployment.gateways]
    hosts = context.deployment.hosts.values()
    catalogs = gateways + [host.sidecar.state.catalog for host in hosts]
    wait_until(
        lambda: all(item.revision >= context.revision for item in catalogs),
        timeout_s=seconds,
    )


@then("the third gateway has every record in force within {seconds:d} seconds")
def check_third(context: Context, seconds: int) -> None:
    first = context.deployment.gateways[0].catalog
    third = context.third.catalog
    wait_until(lambda: third.revision == first.revision, timeout_s=seconds)
    assert third.entries_after(0) == first.entries_after(0)


@then("the third gateway answers a completion")
def check_answer(context: Context) -> None:
    context.deployment.wait_ready()
    client = Client(context.deployment.url(2), context.deployment.key)
    assert client.complete("x", max_tokens=2).status == 200


@then("every endpoint takes new work again")
def check_accepting(context: Context) -> None:
    context.deployment.wait_ready()


@then("{n_orders:d} random orders of pushes end with the newest records in force")
def check_orders(context: Context, n_orders: int) -> None:
    rng = random.Random(SEED)
    for _ in range(n_orders):
        _check_order(rng)


class _PushingPeer:
    """A peer that pushes records and answers pulls, as a gateway does."""

    __slots__ = ("entries", "pulls")

    def __init__(self) -> None:
        self.entries: list[RecordEntry] = []
        self.pulls: list[int] = []

    @property
    def consumers(self) -> dict[type[Message], object]:
        return {
            ConfigPull: lambda msg: self.pulls.append(msg.after),
            ConfigChanged: lambda msg: None,
            Decision: lambda msg: None,
        }

    def push(self, after: int, revision: int) -> Message:
        entries = [item for item in self.entries if after < item.revision <= revision]
        return ConfigPush(after, revision, entries).with_peer("gateway-1")


def _check_order(rng: random.Random) -> None:
    peer = _PushingPeer()
    catalog = Catalog()
    pipeline = Pipeline([ApplyRecords(catalog)], [peer])
    for revision in range(1, N_REVISIONS + 1):
        name = f"domain-{rng.randrange(N_DOMAINS)}"
        document = json.dumps(_domain_document(name, in_service=rng.random() < 0.5))
        peer.entries.append(RecordEntry("failure_domain", name, revision, document))
    pushes = [(rng.randrange(N_REVISIONS), rng.randrange(1, 9)) for _ in range(20)]
    highest = 0
    for after, revision in pushes:
        if after < revision:
            pipeline.push(peer.push(after, revision))
        while peer.pulls:
            pipeline.push(peer.push(peer.pulls.pop(), N_REVISIONS))
        assert catalog.revision >= highest
        highest = catalog.revision
        _check_newest(catalog, peer)


def _check_newest(catalog: Catalog, peer: _PushingPeer) -> None:
    newest = {
        entry.name: entry
        for entry in peer.entries
        if entry.revision <= catalog.revision
    }
    held = {entry.name: entry for entry in catalog.entries_after(0)}
    assert held == newest, (held, newest)


def _domain_document(name: str, *, in_service: bool) -> dict[str, object]:
    spec = {"region": "kingston", "in_service": in_service}
    return {"kind": "failure_domain", "schema": 1, "name": name, "spec": spec}
