"""Steps on the pace that engines report and on the placement by it."""

import json

import eventlet
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from features.support.edge import TICK_S, EdgeDriver
from features.support.edge_fleet import EdgeFleet
from features.support.platform_bytes import SIGNATURE_HEADERS
from hawthornyard.codec import MsgpackCodec
from hawthornyard.core import Decision
from hawthornyard.edge.messages import (
    Dispatch,
    EndpointNotice,
    GatewaysRead,
    ProbeRequested,
)
from hawthornyard.edge.pace_placement import PacePlacement
from hawthornyard.edge.placement import LeastLoaded
from hawthornyard.frames import EndpointLoad, EndpointPace, GatewayLoads
from hawthornyard.policy import rank_owners

N_EVENTS = 20
IP_UDP_BYTES = 28


def report_pace(edge: EdgeDriver, name: str, factor: float, born: int = 0) -> None:
    edge.push(
        EndpointNotice(name, born, edge.clock.now(), is_signed=True, pace_factor=factor)
    )


@given("a stream with events every {ms:g} ms at each of {names}")
def start_streams(context: Context, ms: float, names: str) -> None:
    edge = context.edge
    edge.push_deployment()
    engines = names.split(" and ")
    attempts = []
    for name in engines:
        edge.add_endpoint(name)
        attempts.append(edge.dispatches(edge.call("summary"))[-1].attempt_id)
    for attempt_id in attempts:
        edge.begin_stream(attempt_id)
    for number in range(1, N_EVENTS + 1):
        edge.clock.advance(ms / 1000)
        for attempt_id in attempts:
            edge.push_events(attempt_id, number, number)
    at = {msg.endpoint for msg in edge.messages_of(Dispatch)}
    assert at == set(engines), at


@when(
    "paces of {a:g} at {first} and {b:g} at {second} were reported {age:g} seconds ago"
)
def report_both(
    context: Context, a: float, first: str, b: float, second: str, age: float
) -> None:
    context.engines = (first, second)
    report_pace(context.edge, first, a)
    report_pace(context.edge, second, b)
    context.edge.clock.advance(age)


@when("a pace of {factor:g} is reported by {name}")
def report_one(context: Context, factor: float, name: str) -> None:
    report_pace(context.edge, name, factor)


@when("a pace of {factor:g} is reported by an earlier incarnation of {name}")
def report_earlier(context: Context, factor: float, name: str) -> None:
    report_pace(context.edge, name, factor, born=-1)


@when("a caller of the gateway sends a summary")
def send_summary(context: Context) -> None:
    context.call_id = context.edge.call("summary")


@when("both engines go on to report {factor:g} for {seconds:g} seconds")
def report_on(context: Context, factor: float, seconds: float) -> None:
    for _ in range(round(seconds / TICK_S)):
        for name in context.engines:
            report_pace(context.edge, name, factor)
        context.edge.advance(TICK_S)


@then("the summary was sent to {chosen}")
def check_sent_to(context: Context, chosen: str) -> None:
    sent = [msg.endpoint for msg in context.edge.dispatches(context.call_id)]
    if chosen == "nobody yet":
        assert not sent, sent
    elif chosen == "some engine":
        assert len(sent) == 1, sent
    else:
        assert sent == [chosen], sent


@then("the gateway takes the pace of {name} for {factor:g}")
def check_pace(context: Context, name: str, factor: float) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    assert endpoint.pace.factor == factor, endpoint.pace.factor


@then("both policies give a summary the same cost at each engine")
def check_same_cost(context: Context) -> None:
    state = context.edge.state
    default = LeastLoaded(state.directory, state.endpoints)
    paced = PacePlacement(state.directory, state.endpoints, context.edge.clock, default)
    (request, *_) = list(state.inflight)
    for endpoint in state.endpoints:
        assert paced.cost(request, endpoint) == default.cost(request, endpoint)
        assert paced.has_capacity(request, endpoint)


@given("an endpoint whose answer has the load {text} and status {status:d}")
def add_loaded_endpoint(context: Context, text: str, status: int) -> None:
    not_run = b"X-Hawthornyard-Not-Executed: 1\r\n" if status in (421, 503) else b""
    context.lines = []
    sink = logger.add(lambda line: context.lines.append(str(line)), serialize=True)
    context.add_cleanup(logger.remove, sink)
    answer = (
        b"HTTP/1.1 %d X\r\n" % status
        + SIGNATURE_HEADERS
        + not_run
        + b"X-Hawthornyard-Server-Load: %s\r\n" % text.encode()
        + b"Content-Length: 4\r\n\r\nbody"
    )
    context.world.add_endpoint([answer])
    context.world.wait_ready()


@then("the gateway knows the pace {text}")
def check_known_pace(context: Context, text: str) -> None:
    eventlet.sleep(0)
    pace = context.world.gateway.state.endpoints.get("i-1").pace
    assert str(pace.shown and float(pace.shown)).lower() == text, pace.shown


@then("{count} line tells of an unreadable notice")
def check_logged(context: Context, count: str) -> None:
    messages = [json.loads(line)["record"]["message"] for line in context.lines]
    n = messages.count("notice_unreadable")
    assert n == (1 if count == "one" else 0), (n, messages)


@given("{name} has read {rate:g} prompt tokens a second")
def set_prefill_rate(context: Context, name: str, rate: float) -> None:
    edge = context.edge
    edge.state.endpoints.get(name).own_prefill_rate = rate
    edge.push(GatewaysRead({f"gateway-{n}": f"peer-{n}" for n in (1, 2, 3)}))


@when("other gateways report the prompt tokens {reports} at {name}")
def report_prompts(context: Context, reports: str, name: str) -> None:
    edge = context.edge
    context.first_at = edge.clock.now()
    for sequence, report in enumerate(reports.split()):
        is_late = "!" in report
        gateway, at, n_tokens = report.replace("!", ":").split(":")
        edge.clock.advance(context.first_at + float(at) - edge.clock.now())
        load = EndpointLoad(name, 1, 0, int(n_tokens))
        sequence = 0 if is_late else sequence
        edge.push(GatewayLoads(f"gateway-{gateway}", sequence, [load]))


@then("{n:d} tokens await prefill there {after:g} seconds after the first report")
def check_waiting(context: Context, n: int, after: float) -> None:
    edge = context.edge
    edge.clock.advance(context.first_at + after - edge.clock.now())
    (endpoint,) = edge.state.endpoints
    assert endpoint.prefill_backlog == n, endpoint.prefill_backlog


@when("{name} reports paces of {a:g} and {b:g} in turn for {seconds:g} seconds")
def report_in_turn(
    context: Context, name: str, a: float, b: float, seconds: float
) -> None:
    context.seconds = seconds
    for index in range(round(seconds / TICK_S)):
        report_pace(context.edge, name, a if index % 8 < 4 else b)
        context.edge.advance(TICK_S)


@then("{n:d} datagrams tell of a pace")
def check_told(context: Context, n: int) -> None:
    frames = context.edge.messages_of(EndpointPace)
    assert len(frames) == n, frames
    assert len({frame.peer for frame in frames}) == min(n, 3), frames


@then("the datagrams on the pace took at most {most:g} bytes a second")
def check_bytes(context: Context, most: float) -> None:
    codec = MsgpackCodec()
    frames = context.edge.messages_of(EndpointPace)
    n_bytes = sum(len(codec.encode(frame)) + IP_UDP_BYTES for frame in frames)
    assert 0 < n_bytes <= most * context.seconds, n_bytes
    peers = {frame.peer for frame in frames}
    assert len(peers) == context.edge.state.peers.n_gateways - 1, len(peers)


@when(
    "{gateway} tells a pace of {factor:g} of incarnation {born:d}, {age:g} seconds old"
)
def tell_pace(
    context: Context, gateway: str, factor: float, born: int, age: float
) -> None:
    context.edge.push(EndpointPace(gateway, "engine-a", born, factor, age))


@given("{n:d} gateways that know {name}, on which gateway 0 runs a stream")
def start_probing(context: Context, n: int, name: str) -> None:
    context.fleet = EdgeFleet(n, [name])
    context.fleet.run(1.0, "summary", 0.0, [0])
    context.fleet.gateways[0].call("summary")


@given("{name} has reported a pace once")
def report_to_all(context: Context, name: str) -> None:
    for gateway in context.fleet.gateways:
        report_pace(gateway, name, 1.0)


def run_probed(context: Context, seconds: float) -> None:
    """Let time go by for all gateways, and answer each probe."""
    fleet = context.fleet
    for _ in range(round(seconds / TICK_S)):
        before = _count_probes(context)
        fleet.run(TICK_S, "summary", 0.0, [0])
        for index, n in enumerate(_count_probes(context)):
            if n > before[index]:
                report_pace(fleet.gateways[index], "engine-a", 1.0)


@when("3 seconds go by for all gateways with answered probes, {fault}")
def run_fleet(context: Context, fault: str) -> None:
    fleet = context.fleet
    run_probed(context, 2.0)
    context.n_probes = _count_probes(context)
    run_probed(context, 1.0)
    if fault == "and nothing fails":
        return
    (prober,) = _probers(context)
    fleet.cut_off = {prober}
    run_probed(context, 4.0)
    if fault == "and it returns after 4 without":
        fleet.cut_off = set()
        run_probed(context, 4.0)
    context.n_probes = _count_probes(context)
    if fleet.cut_off:
        # What is cut off probes for itself, within its own bound.
        context.n_probes[prober] = None
    run_probed(context, 1.0)


@when("its stream runs for {seconds:g} seconds without answered probes")
def run_unanswered(context: Context, seconds: float) -> None:
    context.edge.call("summary")
    context.edge.advance(seconds)


@then("between {least:d} and {most:d} probes were sent to it")
def check_probes(context: Context, least: int, most: int) -> None:
    n = len(context.edge.messages_of(ProbeRequested))
    assert least <= n <= most, n


def _count_probes(context: Context) -> list[int]:
    return [len(gw.messages_of(ProbeRequested)) for gw in context.fleet.gateways]


def _probers(context: Context) -> dict[int, int]:
    """Return the number of new probes of each gateway that requested some."""
    counts = zip(context.n_probes, _count_probes(context), strict=True)
    new = {i: n - before for i, (before, n) in enumerate(counts) if before is not None}
    return {index: n for index, n in new.items() if n}


@then("between {least:d} and {most:d} probes were requested in the last second")
def check_probe_rate(context: Context, least: int, most: int) -> None:
    probers = _probers(context)
    assert least <= sum(probers.values()) <= most, probers


@then("they were requested by one gateway")
def check_one_prober(context: Context) -> None:
    assert len(_probers(context)) == 1, _probers(context)


@when("for 2 seconds it runs nothing")
def run_nothing(context: Context) -> None:
    context.edge.advance(2.0)


@when("for 2 seconds it runs a stream and reports with responses")
def run_with_responses(context: Context) -> None:
    context.edge.call("summary")
    for _ in range(20):
        report_pace(context.edge, "engine-a", 1.0)
        context.edge.advance(0.1)


@when("for 2 seconds it drains while it runs a stream")
def run_while_draining(context: Context) -> None:
    context.edge.call("summary")
    report_pace(context.edge, "engine-a", 1.0)
    context.edge.add_endpoint("engine-a", is_draining=True)
    context.edge.advance(2.0)


@then("no probe was requested")
def check_no_probe(context: Context) -> None:
    assert not context.edge.messages_of(ProbeRequested)


@when("{name} reports {factor:g} for {n:d} events, one every {ms:g} ms")
def report_with_events(
    context: Context, name: str, factor: float, n: int, ms: float
) -> None:
    edge = context.edge
    (attempt_id,) = edge.state.endpoints.get(name).requests
    for number in range(N_EVENTS + 1, N_EVENTS + 1 + n):
        edge.clock.advance(ms / 1000)
        report_pace(edge, name, factor)
        edge.push_events(attempt_id, number, number)
    report_pace(edge, name, factor)


@then("its figures are {trust}")
def check_trust(context: Context, trust: str) -> None:
    decisions = [
        msg for msg in context.edge.messages_of(Decision) if msg.name == "pace_trust"
    ]
    assert len(decisions) == (trust == "distrusted"), decisions


@when("another gateway runs something at the endpoint")
def run_elsewhere(context: Context) -> None:
    peers = context.world.gateway.state.peers
    others = (f"gateway-{n}" for n in range(2, 50))
    # One after which this gateway still owns the endpoint.
    name = next(n for n in others if rank_owners("pace/i-1", ["gateway-1", n])[1] == n)
    peers.set_addresses({name: "127.0.0.1:9"})
    peers.merge(GatewayLoads(name, 1, [EndpointLoad("i-1", 1, 0)]))


@then("the endpoint is asked for its health path within {seconds:g} seconds")
def check_probed(context: Context, seconds: float) -> None:
    (endpoint,) = context.world.endpoints
    probe = b"GET /h HTTP"
    with eventlet.Timeout(seconds, False):
        while not any(req.startswith(probe) for req in endpoint.requests):
            eventlet.sleep(0.02)
    assert any(req.startswith(probe) for req in endpoint.requests), endpoint.requests


@when("{first} and {second} report 2.5 in {n_slow:d} of 40 figures and 1.0 at last")
def report_slow_share(context: Context, first: str, second: str, n_slow: int) -> None:
    for index in range(40):
        context.edge.clock.advance(0.1)
        for name in (first, second):
            report_pace(context.edge, name, 2.5 if index < n_slow else 1.0)


@when("another gateway runs 6 streams at {first} and 2 longer ones at {second}")
def run_others(context: Context, first: str, second: str) -> None:
    edge = context.edge
    edge.push(GatewaysRead({f"gateway-{n}": f"peer-{n}" for n in (1, 2)}))
    loads = [EndpointLoad(first, 6, 3000), EndpointLoad(second, 2, 12000)]
    edge.push(GatewayLoads("gateway-2", 1, loads))
