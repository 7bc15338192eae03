"""Steps on the pace that engines report and on the placement by it."""

import eventlet
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from features.support.edge import TICK_S, EdgeDriver
from features.support.edge_fleet import EdgeFleet
from features.support.platform_bytes import SIGNATURE_HEADERS
from hawthornyard.codec import MsgpackCodec
from hawthornyard.edge.messages import EndpointNotice, GatewaysRead, ProbeRequested
from hawthornyard.edge.pace_placement import PacePlacement
from hawthornyard.edge.placement import LeastLoaded
from hawthornyard.frames import EndpointLoad, EndpointPace, GatewayLoads
from hawthornyard.policy import rank_owners

N_EVENTS = 20
IP_UDP_BYTES = 28
GATEWAYS = GatewaysRead({f"gateway-{n}": f"peer-{n}" for n in (1, 2, 3)})


def report_pace(edge: EdgeDriver, name: str, factor: float) -> None:
    now = edge.clock.now()
    edge.push(EndpointNotice(name, 0, now, is_signed=True, pace_factor=factor))


@given("a stream with events every {ms:g} ms at each of {names}")
def start_streams(context: Context, ms: float, names: str) -> None:
    edge = context.edge
    edge.push_deployment()
    attempts = []
    for name in names.split(" and "):
        edge.add_endpoint(name)
        dispatch = edge.dispatches(edge.call("summary"))[-1]
        assert dispatch.endpoint == name, dispatch
        edge.begin_stream(dispatch.attempt_id)
        attempts.append(dispatch.attempt_id)
    for number in range(1, N_EVENTS + 1):
        edge.clock.advance(ms / 1000)
        for attempt_id in attempts:
            edge.push_events(attempt_id, number, number)


@when(
    "paces of {a:g} at engine-a and {b:g} at engine-b were reported {age:g} seconds ago"
)
def report_both(context: Context, a: float, b: float, age: float) -> None:
    report_pace(context.edge, "engine-a", a)
    report_pace(context.edge, "engine-b", b)
    context.edge.clock.advance(age)


@when("a caller of the gateway sends a summary")
def send_summary(context: Context) -> None:
    context.call_id = context.edge.call("summary")


@when("{name} reports {factor:g} for {seconds:g} seconds")
def report_on(context: Context, name: str, factor: float, seconds: float) -> None:
    for _ in range(round(seconds / TICK_S)):
        report_pace(context.edge, name, factor)
        context.edge.advance(TICK_S)


@then("the summary was sent to {chosen}")
def check_sent_to(context: Context, chosen: str) -> None:
    sent = [msg.endpoint for msg in context.edge.dispatches(context.call_id)]
    assert sent == ([] if chosen == "nobody yet" else [chosen]), sent


@then("the gateway takes the pace of {name} for {factor:g}")
def check_pace(context: Context, name: str, factor: float) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    assert endpoint.pace.factor == factor, endpoint.pace.factor


@then("both policies give a summary the same cost at each engine")
def check_same_cost(context: Context) -> None:
    state = context.edge.state
    default = LeastLoaded(state.directory, state.endpoints)
    clock = context.edge.clock
    paced = PacePlacement("g", state.directory, state.endpoints, clock, default)
    (request, *_) = list(state.inflight)
    for endpoint in state.endpoints:
        assert paced.cost(request, endpoint) == default.cost(request, endpoint)
        assert paced.has_capacity(request, endpoint)


@when("engine-a and engine-b report 2.5 in {n_slow:d} of 40 figures and 1.0 at last")
def report_slow_share(context: Context, n_slow: int) -> None:
    for index in range(40):
        factor = 2.5 if index < n_slow else 1.0
        report_both(context, factor, factor, 0.1)


@when("another gateway runs 6 streams at {first} and 2 longer ones at {second}")
def run_others(context: Context, first: str, second: str) -> None:
    context.edge.push(GATEWAYS)
    loads = [EndpointLoad(first, 6, 3000), EndpointLoad(second, 2, 12000)]
    context.edge.push(GatewayLoads("gateway-2", 1, loads))


@when(
    "a pace of 1.0 is known of {name}, of whose memory others hold {n_tokens:d} tokens"
)
def hold_memory(context: Context, name: str, n_tokens: int) -> None:
    context.edge.push(GATEWAYS)
    report_pace(context.edge, name, 1.0)
    load = EndpointLoad(name, 5, n_tokens)
    context.edge.push(GatewayLoads("gateway-2", 1, [load]))


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


@given("an endpoint whose answer has the load {text} and status {status:d}")
def add_loaded_endpoint(context: Context, text: str, status: int) -> None:
    context.lines = []
    sink = logger.add(context.lines.append, format="{message}")
    context.add_cleanup(logger.remove, sink)
    answer = (
        b"HTTP/1.1 %d X\r\n" % status
        + SIGNATURE_HEADERS
        + (b"X-Hawthornyard-Not-Executed: 1\r\n" if status in (421, 503) else b"")
        + b"X-Hawthornyard-Server-Load: %s\r\n" % text.encode()
        + b"Content-Length: 4\r\n\r\nbody"
    )
    context.world.add_endpoint([answer])
    context.world.wait_ready()


@then("the gateway knows the pace {text}, and {count} unreadable notice")
def check_known_pace(context: Context, text: str, count: str) -> None:
    eventlet.sleep(0)
    pace = context.world.gateway.state.endpoints.get("i-1").pace
    assert str(pace.shown).lower() == text, pace.shown
    n = sum("notice_unreadable" in line for line in context.lines)
    assert n == (count == "one"), context.lines


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
    requests = context.world.endpoints[0].requests
    with eventlet.Timeout(seconds, False):
        while not any(req.startswith(b"GET /h HTTP") for req in requests):
            eventlet.sleep(0.02)
    assert any(req.startswith(b"GET /h HTTP") for req in requests), requests


@when("{name}, which reads {rate:g} prompt tokens a second, reports a pace")
def set_prefill_rate(context: Context, name: str, rate: float) -> None:
    context.edge.state.endpoints.get(name).own_prefill_rate = rate
    context.edge.push(GATEWAYS)
    report_pace(context.edge, name, 1.0)


@when("other gateways report the prompt tokens {reports} at {name}")
def report_prompts(context: Context, reports: str, name: str) -> None:
    edge = context.edge
    context.first_at = edge.clock.now()
    for index, report in enumerate(reports.split()):
        gateway, at, n_tokens = report.replace("!", ":").split(":")
        edge.clock.advance(context.first_at + float(at) - edge.clock.now())
        load = EndpointLoad(name, 1, 0, int(n_tokens))
        sequence = 0 if "!" in report else index
        edge.push(GatewayLoads(f"gateway-{gateway}", sequence, [load]))


@then("{n:d} tokens await prefill there {after:g} seconds after the first report")
def check_waiting(context: Context, n: int, after: float) -> None:
    edge = context.edge
    edge.clock.advance(context.first_at + after - edge.clock.now())
    (endpoint,) = edge.state.endpoints
    assert endpoint.prefill_backlog == n, endpoint.prefill_backlog


@then("{n:d} datagrams of at most {most:d} bytes tell of a pace")
def check_told(context: Context, n: int, most: int) -> None:
    frames = context.edge.messages_of(EndpointPace)
    assert len({frame.peer for frame in frames}) == len(frames) == n, len(frames)
    for frame in frames:
        assert len(MsgpackCodec().encode(frame)) + IP_UDP_BYTES <= most, frame


@when("{name} tells a pace of {factor:g} of incarnation {born:d}, {age:g} seconds old")
def tell_pace(
    context: Context, name: str, factor: float, born: int, age: float
) -> None:
    context.edge.push(EndpointPace(name, "engine-a", born, factor, age))


@given("{n:d} gateways that know {name}, on which gateway 0 runs a stream")
def start_probing(context: Context, n: int, name: str) -> None:
    context.fleet = EdgeFleet(n, [name])
    context.fleet.run(1.0, "summary", 0.0, [0])
    context.fleet.gateways[0].call("summary")
    for gateway in context.fleet.gateways:
        report_pace(gateway, name, 1.0)


@given("all of them know a pace of 1.0 of each")
def report_all(context: Context) -> None:
    for gateway in context.fleet:
        for endpoint in gateway.state.endpoints:
            report_pace(gateway, endpoint.name, 1.0)


def _count_probes(context: Context) -> list[int]:
    return [len(gw.messages_of(ProbeRequested)) for gw in context.fleet.gateways]


def run_probed(context: Context, seconds: float) -> dict[int, int]:
    """Answer each probe, and return the number of probes by gateway with any."""
    fleet = context.fleet
    first = _count_probes(context)
    for _ in range(round(seconds / TICK_S)):
        before = _count_probes(context)
        fleet.run(TICK_S, "summary", 0.0, [0])
        for index, n in enumerate(_count_probes(context)):
            if n > before[index]:
                report_pace(fleet.gateways[index], "engine-a", 1.0)
    counts = enumerate(_count_probes(context))
    return {index: n - first[index] for index, n in counts if n > first[index]}


@when("3 seconds go by for all gateways with answered probes, {fault}")
def run_fleet(context: Context, fault: str) -> None:
    run_probed(context, 2.0)
    context.n_probes = run_probed(context, 1.0)
    if fault == "and nothing fails":
        return
    (prober,) = context.n_probes
    context.fleet.cut_off = {prober}
    run_probed(context, 4.0)
    if fault == "and it returns after 4 without":
        context.fleet.cut_off = set()
        run_probed(context, 4.0)
    context.n_probes = run_probed(context, 1.0)
    if context.fleet.cut_off:
        # What is cut off probes for itself, within its own bound.
        context.n_probes.pop(prober, None)


@then("between 3 and 4 probes were requested in the last second, by one gateway")
def check_probe_rate(context: Context) -> None:
    assert list(context.n_probes.values()) in ([3], [4]), context.n_probes


@when("for {seconds:g} seconds it {state}")
def run_alone(context: Context, seconds: float, state: str) -> None:
    if state != "runs nothing":
        context.edge.call("summary")
    if state.endswith("leaving"):
        context.edge.add_endpoint("engine-a", is_draining=True)
    if state.endswith("with responses"):
        report_on(context, "engine-a", 1.0, seconds)
    else:
        context.edge.advance(seconds)


@then("between {least:d} and {most:d} probes were sent to it")
def check_probes(context: Context, least: int, most: int) -> None:
    n = len(context.edge.messages_of(ProbeRequested))
    assert least <= n <= most, n
