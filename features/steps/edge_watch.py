"""Steps for the polling of engines while the store is unavailable."""

import random

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.edge import TICK_S, EdgeDriver
from features.support.wait_recording_store import WaitRecordingStore
from hawthornyard.edge.messages import (
    GatewaysRead,
    ReportRead,
    ReportRequested,
    StoreFailed,
)
from hawthornyard.frames import GatewayLoads, LeavingNotice
from hawthornyard.io import EventletInbox, MonotonicClock
from hawthornyard.platform.feeds import operator_feed

INCARNATION = 0
OTHER_INCARNATION = 7
LEAVE_BOUND_S = 3.0

READ_TIMEOUT_S = 5.0


@given("{n:d} other gateways heard from, {n_before:d} of them before this one by name")
def add_reporting_gateways(context: Context, n: int, n_before: int) -> None:
    names = [f"a-gateway-{index}" for index in range(n_before)]
    names += [f"z-gateway-{index}" for index in range(n - n_before)]
    addresses = {name: f"10.0.0.{index}:7200" for index, name in enumerate(names)}
    context.edge.push(GatewaysRead(addresses))
    for name in names:
        context.edge.push(GatewayLoads(name, 1, []))


@given("a gateway with the random seed {seed:d}")
def seed_gateway(context: Context, seed: int) -> None:
    context.edge = EdgeDriver(random_source=random.Random(seed))


@given("{n:d} gateways that start together and know an engine")
def add_started_together(context: Context, n: int) -> None:
    context.fleet = []
    for seed in range(n):
        drive = EdgeDriver(f"gateway-{seed}", random_source=random.Random(seed))
        drive.push_deployment()
        drive.add_endpoint("engine-a")
        context.fleet.append(drive)


@when("all of them lose the store and {seconds:g} seconds go by")
def lose_store_together(context: Context, seconds: float) -> None:
    context.requested_at = []
    for drive in context.fleet:
        started_at = drive.clock.now()
        drive.push(StoreFailed("operator", "no answer", started_at))
        times = []
        while drive.clock.now() < started_at + seconds:
            n_before = len(drive.messages_of(ReportRequested))
            drive.advance(TICK_S)
            if len(drive.messages_of(ReportRequested)) > n_before:
                times.append(round(drive.clock.now() - started_at, 3))
        context.requested_at.append(tuple(times))


@then("no two of them asked for reports at the same times")
def check_request_times(context: Context) -> None:
    assert len(set(context.requested_at)) == len(context.requested_at), (
        context.requested_at
    )


@when("the {feed} feed of the store fails")
def fail_feed(context: Context, feed: str) -> None:
    context.edge.push(StoreFailed(feed, "no answer", context.edge.clock.now()))


@when("the store is silent")
def stay_silent(context: Context) -> None:
    pass


@when("the store fails and answers again")
def fail_and_answer(context: Context) -> None:
    fail_feed(context, "operator")
    context.edge.confirm_operator_feed()


@when("another incarnation of {name} reports that it leaves")
def report_other_incarnation(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, OTHER_INCARNATION, is_leaving=True))


@when("{name} reports that it leaves")
def report_leaving(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, INCARNATION, is_leaving=True))


@when("{name} reports that it stays")
def report_staying(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, INCARNATION, is_leaving=False))


@when("another gateway tells that another incarnation of {name} leaves")
def notify_of_other_incarnation(context: Context, name: str) -> None:
    context.edge.push(LeavingNotice(name, OTHER_INCARNATION))


@when("another gateway tells that {name} leaves")
def notify_of_leaving(context: Context, name: str) -> None:
    context.edge.push(LeavingNotice(name, INCARNATION))


@then("the engines {names} were asked for reports")
def check_requested(context: Context, names: str) -> None:
    expected = set() if names == "none" else set(names.split(" and "))
    requested = {msg.endpoint for msg in context.edge.messages_of(ReportRequested)}
    assert requested == expected, requested


@then("at most {most:d} and at least {least:d} reports were requested")
def check_n_requested(context: Context, most: int, least: int) -> None:
    n_requested = len(context.edge.messages_of(ReportRequested))
    assert least <= n_requested <= most, n_requested


@then("{n:d} gateways were told that {name} leaves")
def check_notices(context: Context, n: int, name: str) -> None:
    notices = [
        msg for msg in context.edge.messages_of(LeavingNotice) if msg.endpoint == name
    ]
    assert len(notices) == n, notices
    assert len({msg.peer for msg in notices}) == n, notices


@then("it waits at most {max_pause_s:g} seconds between reads of changes")
def check_pause(context: Context, max_pause_s: float) -> None:
    context.edge.state.pace.leave_bound_s = LEAVE_BOUND_S
    assert context.edge.state.pace.pause_s() <= max_pause_s + 1e-9


@then("{name} still gets new work")
def check_eligible(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    assert context.edge.state.eligibility.accepts(endpoint)


@given("{n:d} feeds of one table with waits of {wait_s:g} seconds")
def add_feeds(context: Context, n: int, wait_s: float) -> None:
    context.wait_s = wait_s
    context.stores = [WaitRecordingStore() for _ in range(n)]
    context.feeds = [
        operator_feed(
            store, EventletInbox(), MonotonicClock(), random.Random(seed), wait_s=wait_s
        )
        for seed, store in enumerate(context.stores)
    ]


@given("the store is silent during the second poll of each feed")
def fail_second_poll(context: Context) -> None:
    for store in context.stores:
        store.failing_call = 2


@then(
    "the poll after it does not wait for changes and fails within {seconds:g} seconds"
)
def check_probe(context: Context, seconds: float) -> None:
    for store in context.stores:
        assert store.waits[2] == 0.0, store.waits
        assert store.longest_s[2] <= seconds, store.longest_s


@then("the next one waits for changes again")
def check_long_poll(context: Context) -> None:
    assert all(store.waits[3] > 0.0 for store in context.stores)


@when("the table is read and changes once")
def read_and_change_once(context: Context) -> None:
    for feed, store in zip(context.feeds, context.stores, strict=True):
        thread = eventlet.spawn(feed.run)
        with eventlet.Timeout(READ_TIMEOUT_S):
            store.all_recorded.wait()
        thread.kill()


@then("the waits that follow the change differ, and those after them do not")
def check_waits(context: Context) -> None:
    waits = [store.waits for store in context.stores]
    assert len({store_waits[1] for store_waits in waits}) == len(waits), waits
    assert all(store_waits[1] < context.wait_s for store_waits in waits), waits
    assert all(store_waits[2] == context.wait_s for store_waits in waits), waits
