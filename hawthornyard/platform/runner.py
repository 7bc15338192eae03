"""Run attempts on the platform's endpoints."""

from typing import Any

import eventlet
import urllib3
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
    Event,
)
from ..errors import EndpointError
from ..io.endpoint_calls import CALL_ERRORS, CONNECT_TIMEOUT_S, open_connection
from ..net import READ_BYTES, BoundedConnection, Holding
from .events import EventSplitter
from .names import (
    BACKUP_HEADER,
    COPY_SOURCE_HEADER,
    EXPECTED_ENDPOINT_HEADER,
    LAST_EVENT_ID_HEADER,
    LOWEST_PRIORITY,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESPONSE_HEADERS_NOT_FORWARDED,
    SIGNATURE_HEADER,
    TEAM_HEADER,
    TIMEOUT_MS_HEADER,
)
from .notices import NoticeReader
from .reports import read_born

RESPONSE_GRACE_S = 1.0
"""Time that the socket waits beyond the attempt's timeout, at which the endpoint ends
the attempt itself."""

_MISDIRECTED = 421
_OVERLOADED = frozenset({429, 503})


class RunnerSink:
    """Sink that runs each attempt in its own green thread.

    Args:
        inbox: Receives the outcome and the events of attempts.
        notices: Reads what the endpoints say of themselves beside their answers.
    """

    __slots__ = ("_inbox", "_notices", "_threads", "consumers")

    def __init__(self, inbox: Inbox, notices: NoticeReader) -> None:
        self._inbox = inbox
        self._notices = notices
        self._threads: dict[str, Any] = {}
        self.consumers: Consumers = {
            Dispatch: self._on_dispatch,
            Cancel: self._on_cancel,
        }

    def _on_dispatch(self, msg: Dispatch) -> None:
        self._threads[msg.attempt_id] = eventlet.spawn(self._run, msg)

    def _on_cancel(self, msg: Cancel) -> None:
        thread = self._threads.pop(msg.attempt_id, None)
        if thread is not None:
            thread.kill()

    def _run(self, msg: Dispatch) -> None:
        try:
            self._call_endpoint(msg)
        finally:
            self._threads.pop(msg.attempt_id, None)

    def _call_endpoint(self, msg: Dispatch) -> None:
        try:
            conn = open_connection(
                msg.address, timeout_s=min(CONNECT_TIMEOUT_S, msg.timeout_s)
            )
        except CALL_ERRORS as exc:
            detail = f"connection failed: {exc}"
            self._inbox.put(AttemptRefused(msg.attempt_id, detail, is_absent=True))
            return
        try:
            self._exchange(conn, msg)
        except (*CALL_ERRORS, EndpointError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            self._inbox.put(AttemptBroke(msg.attempt_id, detail))
        finally:
            # Closing frees the endpoint at once, also when this thread is killed.
            conn.close()

    def _exchange(self, conn: BoundedConnection, msg: Dispatch) -> None:
        conn.timeout = msg.timeout_s + RESPONSE_GRACE_S
        call = msg.call
        asked_at = self._notices.now()
        conn.request(
            call.method,
            call.target,
            body=call.body or None,
            headers=_request_headers(msg),
            preload_content=False,
            decode_content=False,
        )
        resp = conn.getresponse()
        try:
            _check_head(resp, msg)
            self._notices.read(
                resp.status,
                resp.headers,
                msg.endpoint,
                msg.born,
                asked_at,
                call.request_id,
            )
            self._handle_response(conn, resp, msg)
        finally:
            resp.close()

    def _handle_response(
        self, conn: BoundedConnection, resp: Any, msg: Dispatch
    ) -> None:
        if _is_refusal(resp):
            self._inbox.put(
                AttemptRefused(
                    msg.attempt_id,
                    f"the endpoint refused with status {resp.status}",
                    is_full=resp.status in _OVERLOADED,
                    is_absent=resp.status == _MISDIRECTED,
                )
            )
            return
        try:
            self._relay_answer(conn, resp, msg)
        except (*CALL_ERRORS, EndpointError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            self._inbox.put(AttemptBroke(msg.attempt_id, detail, has_begun=True))

    def _relay_answer(self, conn: BoundedConnection, resp: Any, msg: Dispatch) -> None:
        kind = resp.headers.get("Content-Type", "")
        if msg.is_stream and kind.startswith("text/event-stream"):
            with conn.hold() as holding:
                self._relay_events(resp, msg, holding)
            return
        body = conn.read_body(resp)
        self._inbox.put(
            AttemptAnswered(
                msg.attempt_id,
                resp.status,
                _forwarded_headers(resp),
                body,
                is_delimited=_is_delimited(resp),
            )
        )

    def _relay_events(self, resp: Any, msg: Dispatch, holding: Holding) -> None:
        self._inbox.put(
            AttemptBegan(msg.attempt_id, resp.status, _forwarded_headers(resp))
        )
        splitter = EventSplitter()
        has_events = False
        while data := resp.read1(READ_BYTES):
            events: list[Event] = []
            try:
                events.extend(splitter.feed(data))
            finally:
                # What came whole before a malformed event goes to the caller.
                if events:
                    has_events = True
                    self._inbox.put(AttemptEvents(msg.attempt_id, events))
            holding.resize(splitter.n_unfinished)
            holding.check()
        holding.check()
        if splitter.n_unfinished:
            raise EndpointError("the stream ended within an event")
        is_delimited = _is_delimited(resp)
        if not is_delimited and not has_events:
            raise EndpointError("the stream ended before its first event")
        if is_delimited:
            self._inbox.put(AttemptEnded(msg.attempt_id))
            return
        # The system closes the connections of a process that ends, which looks like the
        # end of a stream without length.
        born = read_born(self._notices, msg.endpoint, msg.address, msg.born)
        self._inbox.put(
            AttemptEnded(msg.attempt_id, is_delimited=False, born_after=born)
        )


def _request_headers(msg: Dispatch) -> urllib3.HTTPHeaderDict:
    call = msg.call
    headers = urllib3.HTTPHeaderDict()
    for name, value in call.headers:
        headers.add(name, value)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            headers[name] = SKIP_HEADER
    if call.body or call.method not in ("GET", "HEAD"):
        headers["Content-Length"] = str(len(call.body))
    headers[REQUEST_ID_HEADER] = call.request_id
    headers[TIMEOUT_MS_HEADER] = str(max(1, int(msg.timeout_s * 1000)))
    headers[EXPECTED_ENDPOINT_HEADER] = msg.endpoint
    headers[PRIORITY_HEADER] = str(min(LOWEST_PRIORITY, max(0, msg.priority)))
    if msg.team:
        headers[TEAM_HEADER] = msg.team
    if msg.mirror_address:
        headers[BACKUP_HEADER] = msg.mirror_address
    if msg.source is not None:
        headers[COPY_SOURCE_HEADER] = f"{msg.source.address}/{msg.source.handle}"
        headers[LAST_EVENT_ID_HEADER] = str(msg.source.last_event)
    return headers


def _is_refusal(resp: Any) -> bool:
    return resp.status == _MISDIRECTED or bool(resp.headers.get(NOT_RUN_HEADER))


def _check_head(resp: Any, msg: Dispatch) -> None:
    request_id = resp.headers.get(REQUEST_ID_HEADER)
    if request_id is not None and request_id != msg.call.request_id:
        raise EndpointError("the response has the id of another request")
    if not _is_refusal(resp):
        _check_answer(resp)
    elif request_id is None:
        raise EndpointError("a refusal does not tell which request it is for")


def _check_answer(resp: Any) -> None:
    if resp.headers.get("Content-Encoding"):
        raise EndpointError("the response has a Content-Encoding, expected none")
    lengths = set(resp.headers.getlist("Content-Length"))
    for length in lengths:
        if not length.isascii() or not length.isdigit() or len(lengths) > 1:
            raise EndpointError(f"Content-Length is {length[:100]!r}, expected digits")
    coding = resp.headers.get("Transfer-Encoding", "chunked")
    if coding.lower() != "chunked":
        raise EndpointError(
            f"Transfer-Encoding is {coding[:100]!r}, expected chunked or none"
        )
    if resp.status < 300 and not resp.headers.get(SIGNATURE_HEADER):
        raise EndpointError("the response has no signature of the endpoint")


def _is_delimited(resp: Any) -> bool:
    return resp.chunked or "Content-Length" in resp.headers


def _forwarded_headers(resp: Any) -> list[tuple[str, str]]:
    dropped = set(RESPONSE_HEADERS_NOT_FORWARDED)
    for value in resp.headers.getlist("Connection"):
        dropped |= {item.strip().lower() for item in value.split(",")}
    return [
        (name, value)
        for name, value in resp.headers.iteritems()
        if name.lower() not in dropped
    ]
