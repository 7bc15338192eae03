"""Steps on answers whose status line is valid or not."""

from collections.abc import Callable
from functools import partial
from typing import Any

import eventlet
from behave import given, then, when
from behave.runner import Context

from features.steps.cut_answers import (
    CALLS,
    FAILURES,
    TIMEOUT_S,
    WHOLE_ANSWERS,
    start_server_of_cut_bodies,
)
from features.support.peers import RecordingInbox
from features.support.scripted import read_message
from hawthornyard.core import ManualClock, Message
from hawthornyard.edge.messages import (
    AttemptAnswered,
    AttemptBroke,
    AttemptRefused,
    Call,
    CopyAnswered,
    CopyRequested,
    CopySource,
    Dispatch,
    EndpointNotice,
    ReportRead,
    ReportRequested,
)
from hawthornyard.platform.copies import CopySink
from hawthornyard.platform.notices import NoticeReader
from hawthornyard.platform.reports import ReportSink
from hawthornyard.platform.runner import RunnerSink
from hawthornyard.sidecar.messages import EndpointFailed

HEADERS = (
    b"X-Hawthornyard-Request-Id: r-1\r\nX-Hawthornyard-Response-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nConnection: close\r\n"
)
NOT_RUN = b"X-Hawthornyard-Not-Executed: 1\r\n"
BODY = b'{"born": 1, "state": "ready", "rows": [], "ver": 1, "now_ms": 1}'


@given('a server whose status line is "{line}"')
def start_server(context: Context, line: str) -> None:
    start_server_of_cut_bodies(context, "of plain sizes")
    context.line = line.encode().decode("unicode_escape").encode("iso-8859-1")
    context.field = b""


@when("each kind of call reads its answer")
def call_with_each(context: Context) -> None:
    context.outcomes = [
        (name, marks, _call(context, call, marks))
        for name, call in {**CALLS, **EDGE_CALLS}.items()
        for marks in (b"", NOT_RUN)
    ]


@when("a platform endpoint reads its answer")
def call_platform_endpoint(context: Context) -> None:
    context.outcome = _call(context, CALLS["a platform endpoint"], b"")


@then("each call has broken off, may have run and tells nothing of its endpoint")
def check_broken(context: Context) -> None:
    for name, marks, outcome in context.outcomes:
        *others, last = outcome if isinstance(outcome, list) else [outcome]
        assert not others, (name, marks, others)
        if isinstance(last, CopyAnswered):
            assert not last.is_done and not last.is_unknown, (name, marks, last)
            continue
        assert last is None or isinstance(last, FAILURES), (name, marks, last)
        if isinstance(last, EndpointFailed):
            assert last.may_have_run, (name, marks, last)


@then("the answer has status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert isinstance(context.outcome, AttemptAnswered), context.outcome
    assert context.outcome.status == status


def _call(context: Context, call: Callable[[str], object], marks: bytes) -> object:
    answer = context.line + b"\r\n" + HEADERS + marks + context.field + b"\r\n" + BODY
    serving = eventlet.spawn(_serve, context, answer)
    try:
        return call(context.address)
    finally:
        serving.kill()


def _serve(context: Context, data: bytes) -> None:
    # An engine is asked again where its stream broke off, and a store that fails.
    while True:
        sock, _ = context.listener.accept()
        read_message(sock)
        sock.sendall(data)
        sock.close()


def _dispatch(address: str, **fields: Any) -> list[Message]:
    inbox = RecordingInbox()
    sink = RunnerSink(inbox, NoticeReader(inbox, ManualClock()))
    call = Call("c-1", "r-1", "kiosk.example", "/summary/1", method="POST", body=b"x")
    msg = Dispatch("c-1.1", call, address, "i-1", timeout_s=TIMEOUT_S, **fields)
    sink.consumers[Dispatch](msg)
    ends = (AttemptBroke, AttemptRefused, *WHOLE_ANSWERS)
    return _wait(inbox, lambda found: isinstance(found, ends))


def _copy(address: str) -> list[Message]:
    inbox = RecordingInbox()
    sink = CopySink(inbox, NoticeReader(inbox, ManualClock()))
    msg = CopyRequested(
        "c-1.1", "r-1", address, address, is_final=False, timeout_s=TIMEOUT_S
    )
    sink.consumers[CopyRequested](msg)
    return _wait(inbox, lambda found: isinstance(found, CopyAnswered))


def _report(address: str) -> list[Message] | None:
    inbox = RecordingInbox()
    sink = ReportSink(inbox, NoticeReader(inbox, ManualClock()))
    sink.consumers[ReportRequested](ReportRequested("i-1", address, 1))
    # A report that fails is only logged; one that was taken is here well within 0.1 s.
    with eventlet.Timeout(0.1, False):
        return _wait(
            inbox, lambda found: isinstance(found, ReportRead | EndpointNotice)
        )
    return None


def _wait(inbox: RecordingInbox, is_end: Callable[[Message], bool]) -> list[Message]:
    with eventlet.Timeout(TIMEOUT_S, AssertionError("no outcome")):
        while not any(is_end(msg) for msg in inbox.messages):
            eventlet.sleep(0.001)
    return inbox.messages


EDGE_CALLS: dict[str, Callable[[str], object]] = {
    "a platform endpoint": _dispatch,
    "a platform stream": partial(_dispatch, is_stream=True),
    "a stream with a mirror": lambda address: _dispatch(
        address, is_stream=True, mirror_address=address
    ),
    "a resumed stream": lambda address: _dispatch(
        address, is_stream=True, source=CopySource(address, "h-1", 3)
    ),
    "a report and its notices": _report,
    "a copy": _copy,
}
