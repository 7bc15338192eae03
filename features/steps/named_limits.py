"""Steps on the limits that endpoints name in their answers."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.edge_fleet import EdgeFleet
from features.support.platform_bytes import SIGNATURE_HEADERS
from hawthornyard.edge.messages import Dispatch, EndpointNotice, GatewaysRead
from hawthornyard.edge.named_limit import NamedLimit
from hawthornyard.frames import EndpointLimit

WINDOW_S = 4.0
RESTART_INTERVAL_S = 2.0


def _limit(text: str) -> float | None:
    return None if text == "none" else float(text)


@given("{n:d} gateways before {names}")
def start_fleet(context: Context, n: int, names: str) -> None:
    context.fleet = EdgeFleet(n, names.split(" and "))


@when("{names} name a limit of {per_s:g} a second")
@when("{names} names a limit of {per_s:g} a second")
def name_limit(context: Context, names: str, per_s: float) -> None:
    fleet = context.fleet
    for name in names.split(" and "):
        fleet.limits[name] = per_s
    # Each gateway is told by an answer of its own.
    for gateway in fleet.gateways:
        for name in names.split(" and "):
            now = gateway.clock.now()
            gateway.push(
                EndpointNotice(name, 0, now, is_signed=True, limit_per_s=per_s)
            )


@when("desk-a names no limit")
def name_no_limit(context: Context) -> None:
    context.fleet.limits["desk-a"] = None


@when("gateway {index:d} is cut off from the others")
def cut_off(context: Context, index: int) -> None:
    context.fleet.cut_off = {index}


@when(
    "callers send {rate:g} lookups a second to {whom} for {seconds:g} seconds, {fault}"
)
def send_lookups(
    context: Context, rate: float, whom: str, seconds: float, fault: str
) -> None:
    fleet = context.fleet
    senders = list(range(len(fleet.gateways))) if whom == "all" else [0]
    if fault == "and each fifth frame is lost":
        fleet.lost_every = 5
    if fault != "and a gateway restarts now and then":
        fleet.run(seconds, "lookup", rate, senders)
        return
    for index in range(round(seconds / RESTART_INTERVAL_S)):
        fleet.run(RESTART_INTERVAL_S, "lookup", rate, senders)
        fleet.restart(index % len(fleet.gateways))


@then("each endpoint got in no 4 seconds more than 1.5 times its limit and 5")
def check_windows(context: Context) -> None:
    for name, per_s in context.fleet.limits.items():
        most = context.fleet.most_in(name, WINDOW_S, 0.0)
        assert most <= 1.5 * WINDOW_S * per_s + 5, (name, most)


@then("each got at least {n:d} requests")
def check_used(context: Context, n: int) -> None:
    arrivals = [arrival.endpoint for arrival in context.fleet.arrivals]
    for name in context.fleet.limits:
        assert arrivals.count(name) >= n, (name, arrivals.count(name))


@then("{name} got at most {n:d} requests")
def check_spared(context: Context, name: str, n: int) -> None:
    arrivals = [arrival.endpoint for arrival in context.fleet.arrivals]
    assert 0 < arrivals.count(name) <= n, arrivals.count(name)


@then("no caller is refused")
def check_none_refused(context: Context) -> None:
    assert not context.fleet.refusals(), context.fleet.refusals()


@then("each refused caller is told to come back after {least:g} to {most:g} seconds")
def check_retry_after(context: Context, least: float, most: float) -> None:
    refusals = context.fleet.refusals()
    assert len(refusals) > 50, len(refusals)
    for refusal in refusals:
        assert refusal.kind.value == "overloaded", refusal
        assert refusal.retry_after_s is not None
        assert least <= refusal.retry_after_s <= most, refusal


@then("each was refused within {seconds:g} seconds")
def check_refused_soon(context: Context, seconds: float) -> None:
    for gateway in context.fleet.gateways:
        assert len(gateway.state.inflight) <= 20 * seconds + 1, gateway.state.inflight


@then("no gateway knows a limit of desk-a")
def check_over(context: Context) -> None:
    limits = [
        gateway.state.endpoints.get("desk-a").allowance.limit.per_s
        for gateway in context.fleet.gateways
    ]
    assert limits == [None] * len(limits), limits


def _notice(
    context: Context, name: str, text: str, *, asked_s: float = 0.0, signed: bool = True
) -> None:
    now = context.edge.clock.now()
    context.edge.push(
        EndpointNotice(
            name, 0, now - asked_s, is_signed=signed, limit_per_s=_limit(text)
        )
    )


def _endpoint_limit(context: Context, name: str) -> NamedLimit:
    limit: NamedLimit = context.edge.state.endpoints.get(name).allowance.limit
    return limit


@when("an answer to a request from {seconds:g} s ago names the limit {text}")
def answer_with_limit(context: Context, seconds: float, text: str) -> None:
    _notice(context, "desk-a", text, asked_s=seconds)


@when("an answer without a signature names no limit")
def answer_unsigned(context: Context) -> None:
    _notice(context, "desk-a", "none", signed=False)


@when("desk-a starts anew")
def restart_endpoint(context: Context) -> None:
    context.edge.add_endpoint("desk-a", born=7)


@when("an answer of the incarnation before names the limit 3.0")
def answer_of_old_incarnation(context: Context) -> None:
    _notice(context, "desk-a", "3.0")


@then("the limit of desk-a is {text}")
def check_limit(context: Context, text: str) -> None:
    assert _endpoint_limit(context, "desk-a").per_s == _limit(text)


@when(
    "its mirror names a limit of {per_s:g} a second and gets {n:d} requests of another "
    "gateway"
)
def use_up_mirror(context: Context, per_s: float, n: int) -> None:
    context.mirror = next(n for n in ("engine-a", "engine-b") if n != context.sent_at)
    context.edge.push(GatewaysRead({"gateway-1": "peer-1", "gateway-2": "peer-2"}))
    _notice(context, context.mirror, str(per_s))
    for n_sent in range(n + 1):
        frame = EndpointLimit("gateway-2", context.mirror, 0, n_sent, True, per_s, 0, 0)
        context.edge.push(frame)


@when("another gateway tells of {n:d} and then of {m:d} requests to {name}")
def tell_counts(context: Context, n: int, m: int, name: str) -> None:
    context.edge.push(GatewaysRead({"gateway-1": "peer-1", "gateway-2": "peer-2"}))
    for n_sent in (n, m):
        frame = EndpointLimit("gateway-2", name, 0, n_sent, True, 2.0, 0.0, 0.0)
        context.edge.push(frame)


@then("its mirror got no request of it")
def check_not_resumed(context: Context) -> None:
    sent = [msg.endpoint for msg in context.edge.messages_of(Dispatch)]
    assert context.mirror not in sent, sent


@then("its mirror got the rest of it")
def check_resumed_at_mirror(context: Context) -> None:
    dispatch = context.edge.dispatches(context.call_id)[-1]
    assert dispatch.endpoint == context.mirror, dispatch
    assert dispatch.source is not None, dispatch


@given("an endpoint whose answer has the limit {text} and status {status:d}")
@given("an endpoint whose answer has the limit  and status {status:d}")
def add_limited_endpoint(context: Context, status: int, text: str = "") -> None:
    not_run = b"X-Hawthornyard-Not-Executed: 1\r\n" if status in (421, 503) else b""
    answer = (
        b"HTTP/1.1 %d X\r\n" % status
        + SIGNATURE_HEADERS
        + not_run
        + b"Server-Limit: %s\r\nContent-Length: 4\r\n\r\nbody" % text.encode()
    )
    context.world.add_endpoint([answer])
    context.world.wait_ready()


@then("the gateway knows the limit {text}")
def check_known_limit(context: Context, text: str) -> None:
    eventlet.sleep(0)
    endpoint = context.world.gateway.state.endpoints.get("i-1")
    assert endpoint.allowance.limit.per_s == _limit(text), (
        endpoint.allowance.limit.per_s
    )
