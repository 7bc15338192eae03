"""Call the platform's endpoints."""

from typing import Any

import eventlet
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.util import SKIP_HEADER

from ..core import Consumers, Inbox
from ..edge.messages import (
    AttemptAnswered,
    AttemptBegan,
    AttemptBroke,
    AttemptEnded,
    AttemptEvents,
    AttemptRefused,
    Cancel,
    Dispatch,
)
from ..errors import EndpointError
from .channel import CONNECT_TIMEOUT_S, FAILURES, open_channel
from .events import EventSplitter
from .names import (
    BACKUP,
    COPY_SOURCE,
    EXPECTED_ENDPOINT,
    LAST_EVENT,
    LEAST_URGENT,
    NOT_PASSED_BACK,
    NOT_RUN,
    PRIORITY,
    REQUEST_ID,
    SIGNATURE,
    TEAM,
    TIMEOUT_MS,
)

READ_BYTES = 65_536
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bound on a whole answer that is held in memory."""

ANSWER_SLACK_S = 1.0
"""An endpoint ends by its own time-out; a socket waits a little longer than that."""

_MISDIRECTED = 421
_NO_ROOM = frozenset({429, 503})


class RunnerSink:
    """Run each attempt in a green thread of its own.

    Args:
        inbox: Where what endpoints answer goes.
    """

    __slots__ = ("_inbox", "_running", "consumers")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self._running: dict[str, Any] = {}
        self.consumers: Consumers = {
            Dispatch: self._on_dispatch,
            Cancel: self._on_cancel,
        }

    def _on_dispatch(self, msg: Dispatch) -> None:
        self._running[msg.attempt_id] = eventlet.spawn(self._run, msg)

    def _on_cancel(self, msg: Cancel) -> None:
        thread = self._running.pop(msg.attempt_id, None)
        if thread is not None:
            thread.kill()

    def _run(self, msg: Dispatch) -> None:
        try:
            self._call(msg)
        finally:
            self._running.pop(msg.attempt_id, None)

    def _call(self, msg: Dispatch) -> None:
        try:
            conn = open_channel(
                msg.address, timeout_s=min(CONNECT_TIMEOUT_S, msg.timeout_s)
            )
        except FAILURES as exc:
            detail = f"not connected: {exc}"
            self._inbox.put(AttemptRefused(msg.attempt_id, detail, is_absent=True))
            return
        try:
            self._exchange(conn, msg)
        except (*FAILURES, EndpointError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            self._inbox.put(AttemptBroke(msg.attempt_id, detail))
        finally:
            # Frees the endpoint at once, also when the thread is killed.
            conn.close()

    def _exchange(self, conn: HTTPConnection, msg: Dispatch) -> None:
        # The connection applies its own time-out again before each read.
        conn.timeout = msg.timeout_s + ANSWER_SLACK_S
        call = msg.call
        conn.request(
            call.method,
            call.target,
            body=call.body or None,
            headers=_headers(msg),
            preload_content=False,
            decode_content=False,
        )
        resp = conn.getresponse()
        try:
            self._answer(resp, msg)
        finally:
            resp.close()

    def _answer(self, resp: Any, msg: Dispatch) -> None:
        if resp.status == _MISDIRECTED or resp.headers.get(NOT_RUN):
            self._inbox.put(
                AttemptRefused(
                    msg.attempt_id,
                    f"the endpoint refused with {resp.status}",
                    is_full=resp.status in _NO_ROOM,
                    is_absent=resp.status == _MISDIRECTED,
                )
            )
            return
        _check_origin(resp, msg)
        kind = resp.headers.get("Content-Type", "")
        if msg.is_stream and kind.startswith("text/event-stream"):
            self._relay(resp, msg)
            return
        body = resp.read(MAX_ANSWER_BYTES + 1)
        if len(body) > MAX_ANSWER_BYTES:
            raise EndpointError(f"the answer is over {MAX_ANSWER_BYTES} bytes")
        if resp.length_remaining:
            raise EndpointError("the answer is cut off")
        self._inbox.put(
            AttemptAnswered(msg.attempt_id, resp.status, _passed_back(resp), body)
        )

    def _relay(self, resp: Any, msg: Dispatch) -> None:
        self._inbox.put(AttemptBegan(msg.attempt_id, resp.status, _passed_back(resp)))
        splitter = EventSplitter()
        while data := resp.read1(READ_BYTES):
            events = list(splitter.feed(data))
            if events:
                self._inbox.put(AttemptEvents(msg.attempt_id, events))
        if splitter.has_rest:
            raise EndpointError("the stream ends within an event")
        self._inbox.put(AttemptEnded(msg.attempt_id))


def _headers(msg: Dispatch) -> urllib3.HTTPHeaderDict:
    call = msg.call
    headers = urllib3.HTTPHeaderDict()
    for name, value in call.headers:
        headers.add(name, value)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            headers[name] = SKIP_HEADER
    if call.body or call.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(call.body))
    headers[REQUEST_ID] = call.request_id
    headers[TIMEOUT_MS] = str(max(1, int(msg.timeout_s * 1000)))
    headers[EXPECTED_ENDPOINT] = msg.endpoint
    headers[PRIORITY] = str(min(LEAST_URGENT, max(0, msg.priority)))
    if msg.team:
        headers[TEAM] = msg.team
    if msg.mirror_address:
        headers[BACKUP] = msg.mirror_address
    if msg.source is not None:
        headers[COPY_SOURCE] = f"{msg.source.address}/{msg.source.handle}"
        headers[LAST_EVENT] = str(msg.source.last_event)
    return headers


def _check_origin(resp: Any, msg: Dispatch) -> None:
    request_id = resp.headers.get(REQUEST_ID)
    if request_id is not None and request_id != msg.call.request_id:
        raise EndpointError("the answer belongs to another request")
    if resp.headers.get("Content-Encoding"):
        raise EndpointError("the answer is encoded")
    if resp.status < 300 and not resp.headers.get(SIGNATURE):
        raise EndpointError("the answer is not signed")


def _passed_back(resp: Any) -> list[tuple[str, str]]:
    dropped = set(NOT_PASSED_BACK)
    for value in resp.headers.getlist("Connection"):
        dropped |= {item.strip().lower() for item in value.split(",")}
    return [
        (name, value)
        for name, value in resp.headers.iteritems()
        if name.lower() not in dropped
    ]
