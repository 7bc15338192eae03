"""Steps on a store that comes back from a copy."""

import time

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.platform_standins import TABLE
from features.support.platform_world import CONFIG
from hawthornyard.edge.messages import (
    DomainsRead,
    EndpointsRead,
    GatewaysRead,
    StoreAnswered,
    StoreRestored,
)
from hawthornyard.errors import PlatformError

AWAY_S = 0.4
FORCE_TIMEOUT_S = 5.0
REGISTER_TIMEOUT_S = 8.0


def _within(seconds: float) -> eventlet.Timeout:
    return eventlet.Timeout(seconds, AssertionError(f"not within {seconds} s"))


def _put_version(context: Context, version: int) -> None:
    context.world.store.put("op", "config", {**CONFIG, "version": version})


def _wait_for_version(context: Context, version: int) -> None:
    directory = context.world.gateway.state.directory
    with _within(FORCE_TIMEOUT_S):
        while directory.version != version:
            eventlet.sleep(0.02)


@given("version {version:d} is in force and the store keeps a copy")
def start_with_copy(context: Context, version: int) -> None:
    _put_version(context, version)
    _wait_for_version(context, version)
    context.world.store.take_copy()


@given("version {version:d} is in force and the store keeps a copy without gateways")
def start_with_bare_copy(context: Context, version: int) -> None:
    start_with_copy(context, version)
    store = context.world.store
    with _within(FORCE_TIMEOUT_S):
        while ("gateways", "gateway-1") not in store.rows:
            eventlet.sleep(0.02)
    rows = dict(store.rows)
    del store.rows["gateways", "gateway-1"]
    store.take_copy()
    store.rows = rows


@given("version {version:d} is in force after {n:d} other changes")
def change_after_copy(context: Context, version: int, n: int) -> None:
    for number in range(n):
        context.world.store.put("other", f"row-{number}", b"1")
    _put_version(context, version)
    _wait_for_version(context, version)


@when("the store is away and comes back from its copy")
def restore(context: Context) -> None:
    store = context.world.store
    store.is_down = True
    # The calls that wait for changes end with the store.
    store.restore()
    eventlet.sleep(AWAY_S)
    store.is_down = False


@when("version {version:d} and {n:d} other changes are written before any gateway asks")
def write_before_asked(context: Context, version: int, n: int) -> None:
    _put_version(context, version)
    for number in range(n):
        context.world.store.put("other", f"row-{number}", b"2")


@then("version {version:d} comes into force")
def check_in_force(context: Context, version: int) -> None:
    _wait_for_version(context, version)


@given("the gateway has written its row {n:d} times")
def wait_registered(context: Context, n: int) -> None:
    store = context.world.store
    versions: set[int] = set()
    with _within(REGISTER_TIMEOUT_S):
        while len(versions) < n:
            versions.add(store.rows.get(("gateways", "gateway-1"), (b"", 0))[1])
            versions.discard(0)
            eventlet.sleep(0.02)


@then("the gateway's row is there within {seconds:g} seconds")
def check_registered(context: Context, seconds: float) -> None:
    with _within(seconds):
        while ("gateways", "gateway-1") not in context.world.store.rows:
            eventlet.sleep(0.02)


@when("the gateway starts anew")
def restart(context: Context) -> None:
    context.world.restart_gateway()


@then("it is not ready for {seconds:g} seconds")
def check_not_ready(context: Context, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert not context.world.gateway.is_ready()
        eventlet.sleep(0.02)


@then("it is ready within {seconds:g} seconds")
def check_ready(context: Context, seconds: float) -> None:
    with _within(seconds):
        while not context.world.gateway.is_ready():
            eventlet.sleep(0.02)


@given("a gateway that reads the copy of a store in era {era:d}")
def read_copy_first(context: Context, era: int) -> None:
    context.edge.state.directory.key_ttl_s = 5.0
    for feed in ("operator", "endpoints"):
        context.edge.push(StoreRestored(feed, era, context.edge.clock.now()))
    context.edge.push_deployment(2)
    context.edge.add_endpoint("desk-a")


@when("the store is restored")
def note_restored(context: Context) -> None:
    for feed in ("operator", "endpoints"):
        context.edge.push(StoreRestored(feed, 2, context.edge.clock.now()))


@when("the operators write version {version:d} anew as change {revision:d}")
def write_anew(context: Context, version: int, revision: int) -> None:
    context.edge.push_deployment(version, revision=revision)


@when("the store withdraws the key in version {version:d}")
def withdraw_key(context: Context, version: int) -> None:
    context.edge.push_deployment(version, key="another-key")


@when("the store confirms the operators' rows")
def confirm(context: Context) -> None:
    context.edge.push(StoreAnswered("operator", context.edge.clock.now()))


@when("the copy has no failure domain that is out")
def read_no_domains(context: Context) -> None:
    context.edge.push(DomainsRead(frozenset()))
    confirm(context)


@when("the copy has only the entry of {names}")
@when("the copy has the entries of {names}")
def read_copied_entries(context: Context, names: str) -> None:
    entries = [
        context.edge.state.endpoints.get(name).entry for name in names.split(" and ")
    ]
    context.edge.push(EndpointsRead(entries, is_complete=True))
    context.edge.push(StoreAnswered("endpoints", context.edge.clock.now()))


@when("its entry is written anew")
def write_entry(context: Context) -> None:
    entry = context.edge.state.endpoints.get("desk-b").entry
    context.edge.push(EndpointsRead([entry]))


@when("the entry of {name} is removed and {seconds:g} seconds go by")
def remove_entry_for_good(context: Context, name: str, seconds: float) -> None:
    context.edge.push(EndpointsRead([], [name]))
    context.edge.advance(seconds)


def _accepts(context: Context, name: str) -> bool:
    endpoint = context.edge.state.endpoints.get(name)
    accepts: bool = context.edge.state.eligibility.accepts(endpoint)
    return accepts


@then("{name} gets requests")
def check_accepts(context: Context, name: str) -> None:
    assert _accepts(context, name)


@then("{name} gets no requests")
def check_accepts_not(context: Context, name: str) -> None:
    assert not _accepts(context, name)


@when("the store lists only this gateway")
def list_one_gateway(context: Context) -> None:
    context.edge.push(GatewaysRead({"gateway-1": "10.0.0.1:7200"}))


@then("{n:d} gateways share the limits")
def check_sharing(context: Context, n: int) -> None:
    assert context.edge.state.peers.n_gateways == n
    assert context.edge.state.eligibility.n_gateways == n
    assert context.edge.state.retry_budget.n_gateways == n


@given("a store client that has seen era {era:d}")
def see_era(context: Context, era: int) -> None:
    context.standins.store.era = era
    context.standins.client.read(TABLE)


@given("a table of {n:d} rows")
def fill_table(context: Context, n: int) -> None:
    for number in range(n):
        context.standins.store.put(TABLE, f"row-{number:04d}", b"1")


@when("the store answers of era {era:d}")
def answer_of_era(context: Context, era: int) -> None:
    context.standins.store.era = era
    _read(context)


@when("the store is restored after its first page is read")
def restore_between_pages(context: Context) -> None:
    store = context.standins.store
    store.take_copy()
    n_before = store.n_calls
    store.delay_s = 0.05
    reading = eventlet.spawn(_read, context)
    with _within(FORCE_TIMEOUT_S):
        while store.n_calls < n_before + 2:
            eventlet.sleep(0.01)
    store.restore()
    reading.wait()


def _read(context: Context) -> None:
    context.read_error = None
    try:
        context.standins.client.read(TABLE)
    except PlatformError as exc:
        context.read_error = exc


@then("the read fails")
def check_read_failed(context: Context) -> None:
    assert "era" in str(context.read_error) or "restored" in str(context.read_error)


@when("the table is read, the store restored and the row removed")
def remove_after_restore(context: Context) -> None:
    client = context.standins.client
    page = client.read(TABLE)
    context.standins.store.take_copy()
    context.standins.store.restore()
    client.read(TABLE)
    try:
        client.remove(TABLE, page.rows[0].key, page.rows[0].version, page.era)
    except PlatformError:
        return
    raise AssertionError("the row was removed")


@then("the row is there")
def check_row_kept(context: Context) -> None:
    assert context.standins.client.read(TABLE).rows
