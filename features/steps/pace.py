"""Steps on the pace that engines report and on the placement by it."""

import json

import eventlet
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from features.support.edge import TICK_S, EdgeDriver
from features.support.platform_bytes import SIGNATURE_HEADERS
from hawthornyard.edge.messages import Dispatch, EndpointNotice, GatewaysRead
from hawthornyard.edge.pace_placement import PacePlacement
from hawthornyard.edge.placement import LeastLoaded
from hawthornyard.frames import EndpointLoad, GatewayLoads

N_EVENTS = 20


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
