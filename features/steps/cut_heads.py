"""Steps on answers that are cut in their head."""

from collections.abc import Callable

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.support.peers import RecordingInbox
from features.support.scripted import read_message
from hawthornyard.core import ManualClock, Message
from hawthornyard.demo.deployment import LOOPBACK
from hawthornyard.edge.messages import AttemptAnswered, AttemptBroke, Call
from hawthornyard.edge.messages import Dispatch as EdgeDispatch
from hawthornyard.errors import PlatformError
from hawthornyard.frames import Dispatch, Generation, ServiceCall, Work
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
    "an engine": b'data: {"token": "a", "finish_reason": "stop"}\n\n',
    "a store": b'{"rows": [], "ver": 1, "now_ms": 1}',
}
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Hawthornyard-Request-Id: r-1\r\n"
    b"X-Hawthornyard-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    b"Connection: close\r\n"
)
FAILURES = (AttemptBroke, EndpointFailed, PlatformError)
WHOLE_ANSWERS = (AttemptAnswered, EndpointReplied, EndpointEnded)


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
    call = CALLS[client]
    context.outcomes = []
    for n_bytes in range(len(head) + 1):
        sent = head[:n_bytes] if n_bytes < len(head) else head + body
        serving = eventlet.spawn(_serve, context, sent)
        context.outcomes.append(call(context.address))
        serving.wait()


def _serve(context: Context, data: bytes) -> None:
    sock, _ = context.listener.accept()
    read_message(sock)
    sock.sendall(data)
    sock.close()


def _call_platform_endpoint(address: str) -> Message:
    inbox = RecordingInbox()
    sink = RunnerSink(inbox, NoticeReader(inbox, ManualClock()))
    call = Call("c-1", "r-1", "kiosk.example", "/badge/1", method="POST", body=b"x")
    sink.consumers[EdgeDispatch](
        EdgeDispatch("c-1.1", call, address, "i-1", timeout_s=TIMEOUT_S)
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


def _call_store(address: str) -> object:
    try:
        return PlatformStore(address).read("op")
    except PlatformError as exc:
        return exc


CALLS: dict[str, Callable[[str], object]] = {
    "a platform endpoint": _call_platform_endpoint,
    "an engine": _call_engine,
    "a service": _call_service,
    "a store": _call_store,
}


@then("each answer but the last one has failed, and may have run")
def check_cut_answers(context: Context) -> None:
    *cut, whole = context.outcomes
    assert len(cut) > 100, len(cut)
    for n_bytes, outcome in enumerate(cut):
        assert isinstance(outcome, FAILURES), (n_bytes, outcome)
        if isinstance(outcome, EndpointFailed):
            assert outcome.may_have_run, (n_bytes, outcome)
    assert not isinstance(whole, FAILURES), whole
