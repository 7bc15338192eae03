"""Steps on the pauses that endpoints ask for with the Retry-After of a 503."""

import re

import eventlet
from behave import given, then, when
from behave.runner import Context
from loguru import logger

from features.support.edge import TICK_S, EdgeDriver
from features.support.platform_bytes import SIGNATURE_HEADERS
from hawthornyard.edge.messages import (
    AttemptRefused,
    CopyRequested,
    Dispatch,
    EndpointNotice,
)
from hawthornyard.gateway.messages import ReplyFailed

ANSWER_S = 0.05
SEND_INTERVAL_S = 0.1
# Half of the lookups' timeout: a lookup sent earlier would not wait for the end.
LEAD_S = 0.4
DATE = b"Sun, 06 Dec 2026 10:00:00 GMT"


def _ask(edge: EdgeDriver, name: str, pause_s: float | None) -> None:
    asked_at = edge.clock.now() - ANSWER_S
    edge.push(EndpointNotice(name, 0, asked_at, is_signed=True, pause_s=pause_s))


def _arrivals(edge: EdgeDriver, name: str) -> list[Dispatch]:
    return [msg for msg in edge.messages_of(Dispatch) if msg.endpoint == name]


def _last_refusal(context: Context) -> ReplyFailed:
    reply: ReplyFailed = context.edge.last_message(ReplyFailed)
    assert reply.call_id == context.call_id, reply
    return reply


@when("{name} asks for a pause of {seconds:g} s")
def ask_for_pause(context: Context, name: str, seconds: float) -> None:
    edge = context.edge
    if name == "its mirror":
        name = next(n for n in ("engine-a", "engine-b") if n != context.sent_at)
        context.mirror = name
    elif name == "the copy's target":
        name = edge.last_message(CopyRequested).target.partition(":")[0]
    _ask(edge, name, seconds)


@when("its endpoint asks for a pause of {seconds:g} s and refuses it")
def ask_and_refuse(context: Context, seconds: float) -> None:
    dispatch = context.edge.dispatches(context.call_id)[-1]
    _ask(context.edge, dispatch.endpoint, seconds)
    context.edge.push(AttemptRefused(dispatch.attempt_id, "no room", is_full=True))


@when("its endpoint asks for a pause of {seconds:g} s and answers 503")
def ask_and_answer(context: Context, seconds: float) -> None:
    dispatch = context.edge.dispatches(context.call_id)[-1]
    _ask(context.edge, dispatch.endpoint, seconds)
    context.edge.answer_attempt(dispatch.attempt_id, 503)


@when("an answer that was under way succeeds")
def answer_under_way(context: Context) -> None:
    _ask(context.edge, "desk-a", None)


@when("the entry of desk-a is read again")
def read_again(context: Context) -> None:
    context.edge.add_endpoint("desk-a")


@when("engine-a reports no pace")
def report_no_pace(context: Context) -> None:
    context.edge.advance(TICK_S)


@when("a {kind} arrives every 100 ms for {seconds:g} seconds")
def send_steadily(context: Context, kind: str, seconds: float) -> None:
    edge = context.edge
    for _ in range(round(seconds / SEND_INTERVAL_S)):
        call_id = edge.call(kind)
        edge.advance(SEND_INTERVAL_S)
        edge.confirm_operator_feed()
        for dispatch in edge.dispatches(call_id):
            if not dispatch.is_stream:
                edge.answer_attempt(dispatch.attempt_id)


@when("{n:d} callers send a lookup each")
def send_together(context: Context, n: int) -> None:
    context.call_ids = [context.edge.call("lookup") for _ in range(n)]


@when("{name} names the limit {per_s:g} to this gateway")
def name_limit(context: Context, name: str, per_s: float) -> None:
    now = context.edge.clock.now()
    notice = EndpointNotice(name, 0, now, is_signed=True, limit_per_s=per_s)
    context.edge.push(notice)


@when("a summary and then a draft, which is more urgent, wait")
def send_two(context: Context) -> None:
    edge = context.edge
    edge.call("summary")
    edge.call("draft")
    edge.advance(0.4)
    context.n_before_end = len(_arrivals(edge, "engine-a"))
    edge.advance(0.4)


@then("nothing was sent before the pause ended")
def check_none_before_end(context: Context) -> None:
    assert context.n_before_end == 0, context.n_before_end


@then("the draft was sent before the summary")
def check_order(context: Context) -> None:
    paths = [msg.call.target for msg in _arrivals(context.edge, "engine-a")]
    assert paths == ["/draft/1", "/summary/1"], paths


@then("{name} got {n:d} requests")
def check_arrivals(context: Context, name: str, n: int) -> None:
    arrivals = _arrivals(context.edge, name)
    assert len(arrivals) == n, len(arrivals)


@then("{name} got at least {n:d} requests")
def check_used(context: Context, name: str, n: int) -> None:
    arrivals = _arrivals(context.edge, name)
    assert len(arrivals) >= n, len(arrivals)


@then("the next request reaches {name} after {seconds:g} seconds")
def check_end(context: Context, name: str, seconds: float) -> None:
    edge = context.edge
    started_at = edge.clock.now()
    edge.clock.advance(max(0.0, seconds - LEAD_S))
    edge.confirm_operator_feed()
    edge.call("lookup")
    while not _arrivals(edge, name):
        edge.advance(TICK_S)
        assert edge.clock.now() < started_at + seconds + 1.0, "no request"
    waited_s = edge.clock.now() - started_at
    assert seconds - 0.001 <= waited_s <= seconds + 2 * TICK_S, waited_s


@then("the caller is told to come back after {seconds:g} s, as {reason}")
def check_return(context: Context, seconds: float, reason: str) -> None:
    reply = _last_refusal(context)
    assert reply.retry_after_s == seconds, reply
    check_reason(context)


@then("the refusal says that the endpoints asked for a pause")
def check_reason(context: Context) -> None:
    reply = _last_refusal(context)
    assert "asked for a pause" in reply.detail, reply


@then("{n:d} of them are refused at once")
def check_refused(context: Context, n: int) -> None:
    refused = [msg.kind.value for msg in context.edge.messages_of(ReplyFailed)]
    assert refused == ["overloaded"] * n, refused


@then("{n:d} of them are refused for the limit and told to come back within {most:g} s")
def check_limit_refusals(context: Context, n: int, most: float) -> None:
    refusals = context.edge.messages_of(ReplyFailed)
    assert len(refusals) == n, refusals
    for reply in refusals:
        assert "limit that they named" in reply.detail, reply
        assert 0.0 < reply.retry_after_s <= most, reply


@then("its engine was told of no mirror")
def check_no_mirror(context: Context) -> None:
    (dispatch,) = context.edge.dispatches(context.call_id)
    assert dispatch.endpoint == "engine-a", dispatch
    assert not dispatch.mirror_address, dispatch


@given("an endpoint that {verb} with status {status:d} and Retry-After {text}")
@given("an endpoint that {verb} with status {status:d} and Retry-After ")
def add_pausing_endpoint(
    context: Context, verb: str, status: int, text: str = ""
) -> None:
    context.lines = []
    sink = logger.add(context.lines.append, format="{message}")
    context.add_cleanup(logger.remove, sink)
    answer = (
        b"HTTP/1.1 %d X\r\n" % status
        + SIGNATURE_HEADERS
        + (b"X-Hawthornyard-Not-Executed: 1\r\n" if verb == "refuses" else b"")
        + b"Date: %s\r\n" % DATE
        + b"Retry-After: %s\r\n" % text.encode()
        + b"Content-Length: 4\r\n\r\nbody"
    )
    context.world.add_endpoint([answer])
    context.world.wait_ready()


@then("the endpoint got {requests}, and the log has {event}")
def check_requests(context: Context, requests: str, event: str) -> None:
    eventlet.sleep(0)
    n = len(context.world.endpoints[0].requests)
    assert n == 1 if requests == "one request" else n > 1, n
    found = {
        name
        for name in ("endpoint_pause", "notice_unreadable")
        if any(name in line for line in context.lines)
    }
    assert found == ({event} - {"neither"}), (found, context.lines)


@then("it is told that it was not run and to come back after {a:d} to {b:d} seconds")
def check_told(context: Context, a: int, b: int) -> None:
    assert b"\r\nX-Request-Ran: no\r\n" in context.response, context.response
    found = re.search(rb"(?i)\r\nretry-after: ([0-9.]+)\r\n", context.response)
    assert found, context.response
    assert a <= float(found[1]) <= b, context.response
