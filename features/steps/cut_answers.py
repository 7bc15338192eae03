"""Steps on answers that are cut, or malformed, in their head or body."""

from collections.abc import Callable
from functools import partial

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.peers import RecordingInbox
from features.support.scripted import read_message
from hawthornyard.core import ManualClock, Message
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.edge.messages import (
    AttemptAnswered,
    AttemptBroke,
    AttemptEnded,
    Call,
)
from hawthornyard.edge.messages import Dispatch as EdgeDispatch
from hawthornyard.errors import PlatformError
from hawthornyard.frames import Dispatch, Generation, ServiceCall, Work
from hawthornyard.io.endpoint_calls import CALL_ERRORS, call_once
from hawthornyard.io.engine import EngineClient
from hawthornyard.io.service import ServiceClient
from hawthornyard.platform.notices import NoticeReader
from hawthornyard.platform.runner import RunnerSink
from hawthornyard.platform.store import PlatformStore
from hawthornyard.sidecar.messages import (
    Attempt,
    EndpointEnded,
    EndpointFailed,
    EndpointReplied,
)

TIMEOUT_S = 2.0
BODIES = {
    "a platform stream": b"id: 1\ndata: words\n\n",
    "an engine": b'data: {"token": "a", "finish_reason": "stop"}\n\n',
    "a store": b'{"rows": [], "ver": 1, "now_ms": 1}',
}
FORMS = {
    "of plain sizes": b"%x\r\n%s\r\n",
    "of padded sizes": b"%08x\r\n%s\r\n",
    "with extensions": b"%x;a=b\r\n%s\r\n",
    "with a trailer": b"%x\r\n%s\r\n",
}
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Hawthornyard-Request-Id: r-1\r\n"
    b"X-Hawthornyard-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    b"Connection: close\r\n"
)
FAILURES = (AttemptBroke, EndpointFailed, PlatformError, *CALL_ERRORS)
WHOLE_ANSWERS = (AttemptAnswered, AttemptEnded, EndpointReplied, EndpointEnded)


@given("a server whose answer {framing} is cut at each byte of its head")
def start_cutting_server(context: Context, framing: str) -> None:
    context.listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{context.listener.getsockname()[1]}"
    context.has_length = framing == "with a length"


@when("{client} calls it until the head is whole")
def call_with_cut_heads(context: Context, client: str) -> None:
    body = BODIES.get(client, b"body")
    length = b"Content-Length: %d\r\n" % len(body) if context.has_length else b""
    head = HEAD + length + b"\r\n"
    cuts = [head[:n_bytes] for n_bytes in range(len(head))]
    _call_for_each(context, client, [*cuts, head + body])


@given("a server whose chunked answer {form} is cut at each byte of its body")
def start_server_of_cut_bodies(context: Context, form: str) -> None:
    context.listener = eventlet.listen((LOOPBACK, 0))
    context.address = f"{LOOPBACK}:{context.listener.getsockname()[1]}"
    context.form = form


@when("{client} calls it until the body is whole")
def call_with_cut_bodies(context: Context, client: str) -> None:
    body = BODIES.get(client, b"body")
    n_first = len(body) // 2
    pieces = (body[:n_first], body[n_first:], b"")
    chunks = b"".join(FORMS[context.form] % (len(data), data) for data in pieces)
    # The last chunk has no line of data; its line ends the trailer section instead.
    trailer = b"X-Trailer: a\r\n" if context.form == "with a trailer" else b""
    wire = chunks[:-2] + trailer + b"\r\n"
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    answers = [head + wire[:n_bytes] for n_bytes in range(len(wire) + 1)]
    _call_for_each(context, client, answers)


@given("a server that answers with {wire} as its chunked body")
def start_malformed_server(context: Context, wire: str) -> None:
    start_server_of_cut_bodies(context, "of plain sizes")
    context.wire = wire.encode().decode("unicode_escape").encode()


@when("a platform endpoint calls it once")
def call_malformed(context: Context) -> None:
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    _call_for_each(context, "a platform endpoint", [head + context.wire])


@then("the answer has failed")
def check_malformed(context: Context) -> None:
    (outcome,) = context.outcomes
    assert isinstance(outcome, AttemptBroke), outcome


def _call_for_each(context: Context, client: str, answers: list[bytes]) -> None:
    context.outcomes = []
    for answer in answers:
        serving = eventlet.spawn(_serve, context, answer)
        context.outcomes.append(CALLS[client](context.address))
        serving.wait()


def _serve(context: Context, data: bytes) -> None:
    sock, _ = context.listener.accept()
    read_message(sock)
    sock.sendall(data)
    sock.close()


def _call_platform_endpoint(address: str, *, is_stream: bool = False) -> Message:
    inbox = RecordingInbox()
    sink = RunnerSink(inbox, NoticeReader(inbox, ManualClock()))
    call = Call("c-1", "r-1", "kiosk.example", "/badge/1", method="POST", body=b"x")
    sink.consumers[EdgeDispatch](
        EdgeDispatch(
            "c-1.1", call, address, "i-1", timeout_s=TIMEOUT_S, is_stream=is_stream
        )
    )
    with eventlet.Timeout(TIMEOUT_S, AssertionError("no outcome")):
        while not any(isinstance(m, FAILURES + WHOLE_ANSWERS) for m in inbox.messages):
            eventlet.sleep(0.001)
    return inbox.messages[-1]


def _attempt(work: Work) -> Attempt:
    dispatch = Dispatch("a-1", "r-1", "kiosk", "summaries", work, True, TIMEOUT_S)
    return Attempt(dispatch.with_peer("gateway-1"), now=0.0)


def _call_engine(address: str) -> Message:
    inbox = RecordingInbox()
    client = EngineClient(f"http://{address}", token_timeout_s=TIMEOUT_S)
    client.run(_attempt(Generation("m", "hello", 9)), inbox)
    return inbox.messages[-1]


def _call_service(address: str) -> Message:
    inbox = RecordingInbox()
    client = ServiceClient(f"http://{address}", read_timeout_s=TIMEOUT_S)
    client.run(_attempt(ServiceCall("POST", "/badge", [], b"x")), inbox)
    return inbox.messages[-1]


def _call_report(address: str) -> object:
    try:
        return call_once("GET", address, "/report", "", TIMEOUT_S)
    except CALL_ERRORS as exc:
        return exc


def _call_store(address: str) -> object:
    try:
        return PlatformStore(address).read("op")
    except PlatformError as exc:
        return exc


CALLS: dict[str, Callable[[str], object]] = {
    "a platform endpoint": _call_platform_endpoint,
    "a platform stream": partial(_call_platform_endpoint, is_stream=True),
    "a report": _call_report,
    "an engine": _call_engine,
    "a service": _call_service,
    "a store": _call_store,
}


@then("each answer but the last one has failed, and may have run")
def check_cut_answers(context: Context) -> None:
    check_cut_bodies(context, 101)


@then("each of {n:d} or more answers but the last one has failed, and may have run")
def check_cut_bodies(context: Context, n: int) -> None:
    *cut, whole = context.outcomes
    assert len(cut) >= n, len(cut)
    for n_bytes, outcome in enumerate(cut):
        assert isinstance(outcome, FAILURES), (n_bytes, outcome)
        if isinstance(outcome, EndpointFailed):
            assert outcome.may_have_run, (n_bytes, outcome)
    assert not isinstance(whole, FAILURES), whole
