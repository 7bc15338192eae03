"""Steps that call the stand-ins of the platform's services."""

import json

import eventlet
import urllib3
from behave import given, then, when
from behave.runner import Context

from features.support.peers import RecordingInbox
from hawthornyard.core import ManualClock
from hawthornyard.errors import ConflictError, HawthornyardError, PlatformError
from hawthornyard.frames import Generation, Heartbeat, RecordEntry
from hawthornyard.gateway.fleet import Fleet, HostsListed, TrackLeavingHosts
from hawthornyard.gateway.messages import Request
from hawthornyard.io.host_poller import HostPoller
from hawthornyard.records import Catalog, Service, Team
from hawthornyard.standins import HostListStandIn, WeightModel
from hawthornyard.stores import Condition, HttpHostList, Put

FAULTS = {
    "down": {"is_down": True},
    "slow": {"delay_s": 5.0},
    "lost reply": {"lose_replies": 1},
}


def _try_call(context, call):
    context.error = None
    try:
        context.result = call()
    except HawthornyardError as exc:
        context.error = exc


def _set_faults(context, service, faults):
    url = f"{context.platform.urls[service]}/faults"
    with urllib3.PoolManager() as pool:
        resp = pool.request("POST", url, body=json.dumps(faults), retries=False)
    assert resp.status == 200


def _writer(context, service):
    platform = context.platform
    return {
        "table": lambda key: platform.table.transact(
            [Condition(f"x/{key}", 0)], [Put(f"x/{key}", "1")]
        ),
        "objects": lambda key: platform.objects.put(str(key), b"1"),
    }[service]


def _n_stored(context, service):
    platform = context.platform
    return {
        "table": lambda: len(platform.table_standin.table.scan("x/").rows),
        "objects": lambda: len(platform.objects_standin.objects),
    }[service]()


@when("an object of {n_bytes:d} bytes is put")
def put_object(context: Context, n_bytes: int) -> None:
    context.data = b"x" * n_bytes
    _try_call(context, lambda: context.platform.objects.put("big/one", context.data))


@then("the object can be read")
def read_object(context: Context) -> None:
    assert context.platform.objects.get("big/one") == context.data


@when("the object is deleted twice")
def delete_object(context: Context) -> None:
    for _ in range(2):
        context.platform.objects.delete("big/one")


@then("there is no object")
def check_no_object(context: Context) -> None:
    assert context.platform.objects.get("big/one") is None


@given("the {service} has the fault {fault}")
def set_fault(context: Context, service: str, fault: str) -> None:
    _set_faults(context, service, FAULTS[fault])


@when("the faults of the {service} end")
def end_faults(context: Context, service: str) -> None:
    _set_faults(context, service, {})


@when("the {service} is called")
def call_service(context: Context, service: str) -> None:
    platform = context.platform
    calls = {
        "table": lambda: platform.table.scan("x/"),
        "objects": lambda: platform.objects.get("x"),
        "weights": lambda: platform.weights.read("scribe", 0),
        "hosts": lambda: platform.hosts.read(),
    }
    _try_call(context, calls[service])


@when("the {service} is written")
def write_service(context: Context, service: str) -> None:
    _try_call(context, lambda: _writer(context, service)("once"))


@then("the call fails with {kind}")
def check_failed(context: Context, kind: str) -> None:
    assert context.error is not None
    assert context.error.kind.value == kind, context.error


@then("the call succeeds")
def check_succeeded(context: Context) -> None:
    assert context.error is None, context.error


@then("the write to the {service} took effect")
def check_effect(context: Context, service: str) -> None:
    assert _n_stored(context, service) == 1


@given("the {service} allows {n_writes:d} writes and {n_reads:d} reads a second")
def limit_rates(context: Context, service: str, n_writes: int, n_reads: int) -> None:
    faults = {"writes_per_s": n_writes, "reads_per_s": n_reads}
    _set_faults(context, service, faults)


@when("the {service} is written {n_writes:d} times at once")
def write_often(context: Context, service: str, n_writes: int) -> None:
    write = _writer(context, service)
    context.n_before = _n_stored(context, service)

    def attempt(key: int) -> int:
        try:
            write(key)
        except (PlatformError, ConflictError):
            return 0
        return 1

    pile = eventlet.GreenPile(10)
    for key in range(n_writes):
        pile.spawn(attempt, key)
    context.n_succeeded = sum(pile)


@then("from {at_least:d} to {at_most:d} writes succeed")
def check_n_succeeded(context: Context, at_least: int, at_most: int) -> None:
    assert at_least <= context.n_succeeded <= at_most, context.n_succeeded


@then("the {service} holds exactly the writes that succeeded")
def check_n_stored(context: Context, service: str) -> None:
    n_written = _n_stored(context, service) - context.n_before
    assert n_written == context.n_succeeded


@given("a weight store that serves {rate:d} bytes a second")
def make_weights(context: Context, rate: int) -> None:
    context.clock = ManualClock()
    context.weights = WeightModel(context.clock, bytes_per_s=rate)


@when("two readers load {n_bytes:d} bytes each")
def load_two(context: Context, n_bytes: int) -> None:
    offsets = {"a": 0, "b": 0}
    context.waits = []
    context.weights.sizes = dict.fromkeys(offsets, n_bytes)
    while any(offset < n_bytes for offset in offsets.values()):
        waits = [0.0]
        for name, offset in offsets.items():
            if offset == n_bytes:
                continue
            grant = context.weights.read(name, offset)
            offsets[name] += grant.n_granted
            if offsets[name] < n_bytes:
                waits.append(grant.wait_s)
                context.waits.append(grant.wait_s)
        context.clock.advance(max(waits))


@then("the loads take from {at_least:g} to {at_most:g} seconds of the manual clock")
def check_load_time(context: Context, at_least: float, at_most: float) -> None:
    assert at_least <= context.clock.now() <= at_most, context.clock.now()


@then("every reader that had to wait was told how long")
def check_waits(context: Context) -> None:
    assert context.waits
    assert all(wait_s > 0 for wait_s in context.waits)


@given("a host list that lags by {lag_s:g} seconds")
def make_lagging_hosts(context: Context, lag_s: float) -> None:
    context.clock = ManualClock()
    context.host_list = HostListStandIn(context.clock)
    context.host_list.faults.lag_s = lag_s


@when("a host is listed as leaving")
def list_leaving(context: Context) -> None:
    context.host_list.put("10.0.0.1", leaving=True)


@then("the list does not show it for {seconds:g} seconds")
def check_lagging(context: Context, seconds: float) -> None:
    context.clock.advance(seconds - 0.001)
    assert context.host_list.page().hosts == []


@then("the list shows it after {seconds:g} seconds")
def check_shown(context: Context, seconds: float) -> None:
    context.clock.advance(0.001)
    assert context.host_list.page().hosts[0].leaving


@given("a gateway that receives heartbeats from an endpoint on {address}")
def make_fleet(context: Context, address: str) -> None:
    spec = {
        "failure_domain": "a",
        "sidecar": address,
        "protocol": "generation",
        "models": ["scribe"],
    }
    document = {"kind": "endpoint", "schema": 1, "name": "scribe-1", "spec": spec}
    catalog = Catalog()
    catalog.apply(1, [RecordEntry("endpoint", "scribe-1", 1, json.dumps(document))])
    context.fleet = Fleet(catalog, ManualClock())
    context.fleet.on_heartbeat(Heartbeat("scribe-1", "i", 1, True, 0, 0, 4, 0.0))
    context.track_hosts = TrackLeavingHosts(context.fleet.leaving_hosts)


@when("the host list at revision {revision:d} shows {text}")
def show_hosts(context: Context, revision: int, text: str) -> None:
    address, _, state = text.partition(" ")
    leaving = [address] if state == "leaving" else []
    list(context.track_hosts.handlers[HostsListed](HostsListed(revision, leaving)))


@when("three polls of the host list fail")
def fail_host_polls(context: Context) -> None:
    _set_faults(context, "hosts", {"is_down": True})
    inbox = RecordingInbox()
    poll = HostPoller(HttpHostList(context.platform.urls["hosts"]), inbox)
    for _ in range(3):
        poll.poll()
    assert not inbox.messages, inbox.messages


@then("the endpoint gets new work: {expected}")
def check_work(context: Context, expected: str) -> None:
    service = Service("summaries", "generation", models=["scribe"])
    work = Generation("scribe", "x", 1)
    request = Request(
        "c", "r", work, Team("t", "h"), service, idempotent=True, deadline=1.0
    )
    gets_work = bool(context.fleet.candidates(request))
    assert gets_work == (expected == "yes")
