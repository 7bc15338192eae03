"""Steps about engines that are asked for reports."""

import random

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.edge import TICK_S, EdgeDriver
from features.support.waiting_store import WaitRecordingStore
from hawthornyard.edge.messages import (
    GatewaysRead,
    ReportRead,
    ReportRequested,
    StoreFailed,
)
from hawthornyard.frames import GatewayLoads, LeavingNotice
from hawthornyard.platform.feeds import operator_feed
from hawthornyard.rim import EventletInbox, MonotonicClock

BORN = 0
EARLIER = 7
LEAVE_BOUND_S = 3.0


@given("{n:d} other gateways of which {heard:d} before this one were heard")
def add_heard_gateways(context: Context, n: int, heard: int) -> None:
    names = [f"a-gateway-{index}" for index in range(heard)]
    names += [f"z-gateway-{index}" for index in range(n - heard)]
    addresses = {name: f"10.0.0.{index}:7200" for index, name in enumerate(names)}
    context.edge.push(GatewaysRead(addresses))
    for name in names:
        context.edge.push(GatewayLoads(name, 1, []))


@given("a gateway that draws by seed {seed:d}")
def draw_by_seed(context: Context, seed: int) -> None:
    context.edge = EdgeDriver(random_source=random.Random(seed))


@given("{n:d} gateways in step that know an engine")
def add_in_step(context: Context, n: int) -> None:
    context.fleet = []
    for seed in range(n):
        drive = EdgeDriver(f"gateway-{seed}", random_source=random.Random(seed))
        drive.push_deployment()
        drive.add_endpoint("engine-a")
        context.fleet.append(drive)


@when("all of them lose the store and {seconds:g} seconds go by")
def lose_store_together(context: Context, seconds: float) -> None:
    context.asked_at = []
    for drive in context.fleet:
        begun_at = drive.clock.now()
        drive.push(StoreFailed("operator", "no answer"))
        times = []
        while drive.clock.now() < begun_at + seconds:
            n_before = len(drive.messages_of(ReportRequested))
            drive.advance(TICK_S)
            if len(drive.messages_of(ReportRequested)) > n_before:
                times.append(round(drive.clock.now() - begun_at, 3))
        context.asked_at.append(tuple(times))


@then("no two of them asked at the same moments")
def check_out_of_step(context: Context) -> None:
    assert len(set(context.asked_at)) == len(context.asked_at), context.asked_at


@when("the {feed} feed of the store fails")
def fail_feed(context: Context, feed: str) -> None:
    context.edge.push(StoreFailed(feed, "no answer"))


@when("the store says nothing")
def say_nothing(context: Context) -> None:
    pass


@when("the store fails and answers again")
def fail_and_answer(context: Context) -> None:
    fail_feed(context, "operator")
    context.edge.confirm_operator_feed()


@when("an earlier incarnation of {name} reports that it leaves")
def report_earlier(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, EARLIER, is_leaving=True))


@when("{name} reports that it leaves")
def report_leaving(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, BORN, is_leaving=True))


@when("{name} reports that it stays")
def report_staying(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, BORN, is_leaving=False))


@when("another gateway tells that an earlier incarnation of {name} leaves")
def tell_earlier(context: Context, name: str) -> None:
    context.edge.push(LeavingNotice(name, EARLIER))


@when("another gateway tells that {name} leaves")
def tell_leaving(context: Context, name: str) -> None:
    context.edge.push(LeavingNotice(name, BORN))


@then("the engines {names} were asked for reports")
def check_asked(context: Context, names: str) -> None:
    wanted = set() if names == "none" else set(names.split(" and "))
    asked = {msg.endpoint for msg in context.edge.messages_of(ReportRequested)}
    assert asked == wanted, asked


@then("at most {most:d} and at least {least:d} questions were asked")
def check_n_asked(context: Context, most: int, least: int) -> None:
    n_asked = len(context.edge.messages_of(ReportRequested))
    assert least <= n_asked <= most, n_asked


@then("{n:d} gateways were told that {name} leaves")
def check_told(context: Context, n: int, name: str) -> None:
    told = [
        msg for msg in context.edge.messages_of(LeavingNotice) if msg.endpoint == name
    ]
    assert len(told) == n, told
    assert len({msg.peer for msg in told}) == n, told


@then("it reads changes after {pause:g} seconds or less")
def check_pause(context: Context, pause: float) -> None:
    context.edge.state.pace.leave_bound_s = LEAVE_BOUND_S
    assert context.edge.state.pace.pause_s() <= pause + 1e-9


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


@when("the table is read and changes once")
def change_once(context: Context) -> None:
    for feed, store in zip(context.feeds, context.stores, strict=True):
        thread = eventlet.spawn(feed.run)
        store.has_recorded_all.wait()
        thread.kill()


@then("the waits that follow the change differ, and those after them do not")
def check_waits(context: Context) -> None:
    waits = [store.waits for store in context.stores]
    assert len({found[1] for found in waits}) == len(waits), waits
    assert all(found[1] < context.wait_s for found in waits), waits
    assert all(found[2] == context.wait_s for found in waits), waits
