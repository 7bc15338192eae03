"""Steps on the requests that a stopping gateway takes or refuses."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.edge import ENGINE
from features.support.platform_bytes import BADGE
from features.support.scripted import read_message
from hawthornyard.core import StopRequested
from hawthornyard.edge.messages import AttemptEnded, Dispatch, GatewaysRead
from hawthornyard.errors import ANSWERS, ErrorKind, Ran
from hawthornyard.gateway.messages import ReplyFailed

N_ESTIMATED_EVENTS = 20
GAP_S = 0.01
MAX_RATIO = 4
LOOP_TURN_S = 0.05
TIMEOUT_S = 5.0


@given("a process that is killed {seconds:g} seconds after it is asked to stop")
def set_grace(context: Context, seconds: float) -> None:
    context.edge.state.grace.seconds = seconds


@given(
    "20 streams, {n:d} of which had {percent:d} % of their estimated length, the "
    "others 100 %"
)
def stream_before(context: Context, n: int, percent: int) -> None:
    n_tokens = N_ESTIMATED_EVENTS * ENGINE.tokens_per_event
    for index in range(20):
        call_id = context.edge.call("summary", n_output_tokens=n_tokens)
        attempt_id = context.edge.dispatches(call_id)[-1].attempt_id
        context.edge.begin_stream(attempt_id)
        n_events = N_ESTIMATED_EVENTS * (percent if index < n else 100) // 100
        for number in range(1, n_events + 1):
            context.edge.push_events(attempt_id, number, number)
            context.edge.clock.advance(GAP_S)
        context.edge.push(AttemptEnded(attempt_id))


@given("another gateway in {domain} failure domain")
def add_neighbour(context: Context, domain: str) -> None:
    addresses = {"gateway-1": "10.0.0.1:7200", "gateway-2": "10.0.0.2:7200"}
    domains = {"gateway-1": "domain-1"}
    if domain != "no known":
        domains["gateway-2"] = "domain-1" if domain == "the same" else "domain-2"
    context.edge.push(GatewaysRead(addresses, domains))


@given("that gets no new connections {seconds:g} seconds after it is asked to stop")
def set_rotation(context: Context, seconds: float) -> None:
    context.edge.state.grace.rotation_s = seconds


@then("it is refused, to come back after {seconds:g} seconds")
def check_retry_after(context: Context, seconds: float) -> None:
    reply = context.edge.last_message(ReplyFailed)
    assert reply.kind is ErrorKind.DRAINING, reply
    assert reply.retry_after_s == seconds, reply.retry_after_s


@when("it is asked to stop")
def ask_to_stop(context: Context) -> None:
    context.edge.push(StopRequested())


@when("a request for a summary of {n:d} events arrives")
def send_summary(context: Context, n: int) -> None:
    n_tokens = n * ENGINE.tokens_per_event
    context.call_id = context.edge.call(
        "summary", n_output_tokens=n_tokens, max_tokens=MAX_RATIO * n_tokens
    )


@when("a request for a badge arrives")
def send_badge(context: Context) -> None:
    context.call_id = context.edge.call("badge")


@then("it is sent")
def check_sent(context: Context) -> None:
    sent = [msg.call.call_id for msg in context.edge.messages_of(Dispatch)]
    assert sent.count(context.call_id) == 1, sent


@then("it is refused as draining, not run")
def check_refused(context: Context) -> None:
    replies = [
        msg
        for msg in context.edge.messages_of(ReplyFailed)
        if msg.call_id == context.call_id
    ]
    assert [msg.kind for msg in replies] == [ErrorKind.DRAINING], replies
    assert ANSWERS[ErrorKind.DRAINING].ran is Ran.NO
    assert replies[0].retry_after_s, replies
    request = context.edge.state.inflight.by_call(context.call_id)
    assert request is None, request


@given("a gateway that is killed {seconds:g} seconds after it is asked to stop")
def set_gateway_grace(context: Context, seconds: float) -> None:
    context.world.wait_ready()
    context.world.gateway.state.grace.seconds = seconds


@when("a badge is posted just after the stop")
def send_after_stop(context: Context) -> None:
    context.world.gateway.stop()
    eventlet.sleep(LOOP_TURN_S)
    context.response = context.world.send(BADGE)


@when("a badge is posted in pieces, before and after the stop")
def send_around_stop(context: Context) -> None:
    head, _, body = BADGE.partition(b"\r\n\r\n")
    with eventlet.Timeout(TIMEOUT_S):
        sock = eventlet.connect(("127.0.0.1", context.world.gateway.port))
        sock.sendall(head + b"\r\n\r\n" + body[:2])
        eventlet.sleep(LOOP_TURN_S)
        context.world.gateway.stop()
        eventlet.sleep(LOOP_TURN_S)
        sock.sendall(body[2:])
        context.response = read_message(sock)
        sock.close()


@then("it gets status 503, to retry over a new connection, and nothing was run")
def check_told_to_retry(context: Context) -> None:
    head = context.response.partition(b"\r\n\r\n")[0].lower()
    assert head.startswith(b"http/1.1 503 "), context.response
    assert b"connection: close" in head, context.response
    assert b"retry-after: " in head, context.response
    assert not context.world.endpoints[0].requests, context.world.endpoints[0].requests
