"""Steps about engines that are asked for reports."""

from behave import given, then, when
from behave.runner import Context

from hawthornyard.edge.messages import (
    GatewaysRead,
    ReportAsked,
    ReportRead,
    StoreFailed,
)
from hawthornyard.frames import GatewayLoads, LeavingTold

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


@when("the {feed} feed of the store fails")
def fail_feed(context: Context, feed: str) -> None:
    context.edge.push(StoreFailed(feed, "no answer"))


@when("the store says nothing")
def say_nothing(context: Context) -> None:
    pass


@when("the store fails and answers again")
def fail_and_answer(context: Context) -> None:
    fail_feed(context, "operator")
    context.edge.confirm()


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
    context.edge.push(LeavingTold(name, EARLIER))


@when("another gateway tells that {name} leaves")
def tell_leaving(context: Context, name: str) -> None:
    context.edge.push(LeavingTold(name, BORN))


@then("the engines {names} were asked for reports")
def check_asked(context: Context, names: str) -> None:
    wanted = set() if names == "none" else set(names.split(" and "))
    asked = {msg.endpoint for msg in context.edge.all(ReportAsked)}
    assert asked == wanted, asked


@then("at most {most:d} and at least {least:d} questions were asked")
def check_n_asked(context: Context, most: int, least: int) -> None:
    n_asked = len(context.edge.all(ReportAsked))
    assert least <= n_asked <= most, n_asked


@then("{n:d} gateways were told that {name} leaves")
def check_told(context: Context, n: int, name: str) -> None:
    told = [msg for msg in context.edge.all(LeavingTold) if msg.endpoint == name]
    assert len(told) == n, told
    assert len({msg.peer for msg in told}) == n, told


@then("it reads changes after {pause:g} seconds or less")
def check_pause(context: Context, pause: float) -> None:
    context.edge.state.pace.leave_bound_s = LEAVE_BOUND_S
    assert context.edge.state.pace.pause_s() <= pause + 1e-9


@then("{name} still gets new work")
def check_eligible(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    assert context.edge.state.eligible.accepts(endpoint)
