"""Steps for endpoints that say in their answers that they leave."""

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.steps.leaving import NEXT_INCARNATION
from features.support.platform_bytes import LAST_CHUNK, SIGNATURE_HEADERS, stream_of
from hawthornyard.core import Decision
from hawthornyard.edge.messages import (
    CopyRequested,
    EndpointNotice,
    ProbeRequested,
    ReportRead,
    ReportRequested,
    StoreRestored,
)
from hawthornyard.frames import LeavingNotice
from hawthornyard.gateway.messages import ReplyFailed
from hawthornyard.io import EventletInbox, MonotonicClock
from hawthornyard.platform.copies import CopySink
from hawthornyard.platform.notices import NoticeReader
from hawthornyard.platform.reports import ReportSink

ANSWER_S = 0.05
FORGOTTEN_S = 31.0
LEAVING = b"Server-Leaving: 1\r\n"
ANSWERS = {
    "with status 200": (b"200", SIGNATURE_HEADERS + LEAVING),
    "with status 500": (b"500", LEAVING),
    "with a refusal": (
        b"503",
        SIGNATURE_HEADERS + b"X-Hawthornyard-Not-Executed: 1\r\n" + LEAVING,
    ),
    "as another endpoint, 421": (b"421", SIGNATURE_HEADERS + LEAVING),
    "as another endpoint": (
        b"500",
        SIGNATURE_HEADERS + b"X-Hawthornyard-Instance-Id: i-other\r\n" + LEAVING,
    ),
    "with the id of another request": (
        b"500",
        b"X-Hawthornyard-Request-Id: other\r\n" + LEAVING,
    ),
    "without a signature": (b"200", LEAVING),
    "with the header twice": (b"200", SIGNATURE_HEADERS + 2 * LEAVING),
    "that it does not leave": (b"200", SIGNATURE_HEADERS + b"Server-Leaving: 0\r\n"),
    "with an unreadable value": (
        b"200",
        SIGNATURE_HEADERS + b"Server-Leaving: soon\r\n",
    ),
}


def _notify(context: Context, name: str, born: int, *, is_leaving: bool = True) -> None:
    edge = context.edge
    asked_at = edge.clock.now() - ANSWER_S
    notice = EndpointNotice(
        name, born, asked_at, is_signed=True, is_leaving=is_leaving, call="request-7"
    )
    edge.push(notice)


@when("an answer of {name} says that it leaves")
def say_leaving(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    _notify(context, name, endpoint.entry.born)


@when("an answer of {name} says nothing of it")
def say_nothing(context: Context, name: str) -> None:
    endpoint = context.edge.state.endpoints.get(name)
    _notify(context, name, endpoint.entry.born, is_leaving=False)


@when("a late answer of the incarnation before says that {name} leaves")
def say_leaving_late(context: Context, name: str) -> None:
    _notify(context, name, 0)


@when("its entry is read again after it was forgotten")
def read_after_forgetting(context: Context) -> None:
    context.edge.advance(FORGOTTEN_S)
    context.edge.confirm_operator_feed()
    assert context.edge.state.endpoints.get("desk-a") is None
    context.edge.add_endpoint("desk-a", born=NEXT_INCARNATION)


@when("the store was restored and has an entry of it")
def restore_copy(context: Context) -> None:
    edge = context.edge
    edge.push(StoreRestored("endpoints", 2, edge.clock.now()))
    edge.add_endpoint("desk-a", born=NEXT_INCARNATION + 1)
    edge.add_endpoint("desk-a", born=NEXT_INCARNATION)


@when("another gateway tells that the next incarnation of {name} leaves")
def notify_of_next(context: Context, name: str) -> None:
    context.edge.push(LeavingNotice(name, NEXT_INCARNATION))


@when("the next incarnation of {name} reports that it leaves")
def report_next(context: Context, name: str) -> None:
    context.edge.push(ReportRead(name, NEXT_INCARNATION, is_leaving=True))


@then("one log line tells which answer said that {name} leaves")
def check_line(context: Context, name: str) -> None:
    (line,) = [
        msg
        for msg in context.edge.messages_of(Decision)
        if msg.name == "endpoint_leaving"
    ]
    told = {key: line.details[key] for key in ("endpoint", "origin", "call", "age_s")}
    expected = {"origin": "endpoint", "call": "request-7", "age_s": ANSWER_S}
    assert told == {"endpoint": name, **expected}, told


@then("its caller is told to come back after {seconds:g} s")
def check_retry_after(context: Context, seconds: float) -> None:
    reply = context.edge.last_message(ReplyFailed)
    assert reply.retry_after_s == seconds, reply


@given("an endpoint that leaves and answers {answer}")
def add_leaving_endpoint(context: Context, answer: str) -> None:
    status, headers = ANSWERS[answer]
    head = b"HTTP/1.1 " + status + b" X\r\n" + headers
    context.world.add_endpoint([head + b"Content-Length: 4\r\n\r\nbody"])
    context.world.wait_ready()


@when("a caller sends a summary to it")
def send_stream(context: Context) -> None:
    answer = stream_of(1, 2).replace(b"\r\n", b"\r\n" + LEAVING, 1) + LAST_CHUNK
    context.world.endpoints[0].answers = [answer]
    context.execute_steps("When a caller of the platform sends a summary")


@when("a call of the gateway {asks}")
def call_endpoint(context: Context, asks: str) -> None:
    endpoint = context.world.endpoints[0]
    address = endpoint.address
    inbox = EventletInbox()
    notices = NoticeReader(inbox, MonotonicClock())
    reports, copies = ReportSink(inbox, notices), CopySink(inbox, notices)
    if asks == "asks for its report":
        body = b'{"state": "ready", "born": 1}'
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n"
        endpoint.answers = [head % (LEAVING, len(body)) + body]
        reports.consumers[ReportRequested](ReportRequested("i-1", address, 1))
    elif asks == "probes its health":
        reports.consumers[ProbeRequested](ProbeRequested("i-1", address, "/h", 1))
    else:
        order = CopyRequested(
            "attempt-1",
            "r-1",
            address,
            address,
            source_name="i-1",
            source_born=1,
            is_final=False,
            timeout_s=1.0,
        )
        copies.consumers[CopyRequested](order)
    context.notice = inbox.get()


@then("the answer tells it that the endpoint leaves")
def check_notice(context: Context) -> None:
    notice = context.notice
    assert isinstance(notice, EndpointNotice), notice
    assert (notice.endpoint, notice.born, notice.is_leaving) == ("i-1", 1, True), notice


@then("the gateway {knows} that it leaves")
def check_known(context: Context, knows: str) -> None:
    eventlet.sleep(0.1)
    endpoint = context.world.gateway.state.endpoints.get("i-1")
    is_known = endpoint.leaving_since is not None
    assert is_known == (knows == "knows"), endpoint.leaving_since
