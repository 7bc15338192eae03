"""Ask engines to copy runs to other engines."""

import json

import eventlet
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import CopyAnswered, CopyDropped, CopyRequested
from ..errors import RecordError
from ..io.endpoint_calls import (
    CALL_ERRORS,
    call_on,
    call_once,
    is_refused,
    open_connection,
)
from ..net import BoundedConnection
from .fields import decode_object
from .names import COPY_DROP_PATH, COPY_PATH
from .notices import NoticeReader
from .reports import read_born

DROP_TIMEOUT_S = 1.0
"""Timeout for freeing a copy; engines free unused copies themselves after some
seconds."""

_OK = 200
_NOT_FOUND = 404


class CopySink:
    """Sink that requests and frees copies, each in its own green thread.

    Args:
        inbox: Receives the outcome of each copy.
        notices: Reads what the engines say of themselves beside their answers.
    """

    __slots__ = ("_inbox", "_notices", "consumers")

    def __init__(self, inbox: Inbox, notices: NoticeReader) -> None:
        self._inbox = inbox
        self._notices = notices
        self.consumers: Consumers = {
            CopyRequested: self._on_copy_requested,
            CopyDropped: self._on_copy_dropped,
        }

    def _on_copy_requested(self, msg: CopyRequested) -> None:
        eventlet.spawn_n(self._copy, msg)

    def _on_copy_dropped(self, msg: CopyDropped) -> None:
        eventlet.spawn_n(self._drop, msg)

    def _copy(self, msg: CopyRequested) -> None:
        asked_at = self._notices.now()
        try:
            conn = open_connection(msg.source)
        except CALL_ERRORS as exc:
            answered = CopyAnswered(
                msg,
                is_done=False,
                is_inconclusive=not is_refused(exc),
                may_have_stopped=False,
                born=0 if is_refused(exc) else None,
                detail=f"connection failed: {exc}",
            )
        else:
            answered = self._call(conn, msg, asked_at)
        self._inbox.put(answered)

    def _call(
        self, conn: BoundedConnection, msg: CopyRequested, asked_at: float
    ) -> CopyAnswered:
        body = {"id": msg.request_id, "to": msg.target, "last": msg.is_final}
        try:
            answer = call_on(conn, "POST", COPY_PATH, json.dumps(body), msg.timeout_s)
        except CALL_ERRORS as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return CopyAnswered(msg, is_done=False, is_inconclusive=True, detail=detail)
        self._notices.read(
            answer.status,
            answer.headers,
            msg.source_name,
            msg.source_born,
            asked_at,
            COPY_PATH,
        )
        # An engine that stopped the run but failed to deliver the copy returns a handle
        # too.
        handle = _decode_handle(answer.data)
        is_missing = answer.status == _NOT_FOUND
        born = None
        if is_missing and msg.is_final:
            born = read_born(
                self._notices, msg.source_name, msg.source, msg.source_born
            )
        return CopyAnswered(
            msg,
            is_done=answer.status == _OK,
            handle=handle,
            is_unknown=is_missing,
            is_inconclusive=msg.is_final and not handle and born is None,
            may_have_stopped=not is_missing,
            born=born,
            detail=f"the engine answered with status {answer.status}",
            seconds=self._notices.now() - asked_at,
        )

    def _drop(self, msg: CopyDropped) -> None:
        path = f"{COPY_DROP_PATH}{msg.handle}"
        try:
            call_once("DELETE", msg.address, path, "", DROP_TIMEOUT_S)
        except CALL_ERRORS as exc:
            logger.bind(address=msg.address, detail=str(exc)).info("copy_not_dropped")


def _decode_handle(data: bytes) -> str:
    try:
        handle = decode_object(data).get("handle", "")
    except RecordError:
        # Error responses need not be JSON; they carry no handle then.
        return ""
    if isinstance(handle, int) and not isinstance(handle, bool):
        return str(handle)
    return handle if isinstance(handle, str) else ""
