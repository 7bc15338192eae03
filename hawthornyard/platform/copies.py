"""Ask engines to copy their runs to one another."""

import json
import time

import eventlet
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import CopyAnswered, CopyDropped, CopyRequested
from ..errors import RecordError
from .channel import FAILURES, call_once
from .fields import decode_object
from .names import COPY_DROP_PATH, COPY_PATH

DROP_TIMEOUT_S = 1.0
"""Bound on freeing a copy; an engine frees it by itself after some seconds."""

_OK = 200
_UNKNOWN = 404


class CopySink:
    """Ask for each copy in a green thread of its own.

    Args:
        inbox: Where the answers go.
    """

    __slots__ = ("_inbox", "consumers")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self.consumers: Consumers = {
            CopyRequested: self._on_asked,
            CopyDropped: self._on_dropped,
        }

    def _on_asked(self, msg: CopyRequested) -> None:
        eventlet.spawn_n(self._copy, msg)

    def _on_dropped(self, msg: CopyDropped) -> None:
        eventlet.spawn_n(self._drop, msg)

    def _copy(self, msg: CopyRequested) -> None:
        begun_at = time.monotonic()
        body = {"id": msg.request_id, "to": msg.target, "last": msg.is_final}
        try:
            status, data = call_once(
                "POST", msg.source, COPY_PATH, json.dumps(body), msg.timeout_s
            )
        except FAILURES as exc:
            self._inbox.put(CopyAnswered(msg, is_done=False, detail=str(exc)))
            return
        self._inbox.put(
            CopyAnswered(
                msg,
                is_done=status == _OK,
                # Also an engine that could not copy a stopped run names it.
                handle=_handle(data),
                is_unknown=status == _UNKNOWN,
                detail=f"the engine answered {status}",
                seconds=time.monotonic() - begun_at,
            )
        )

    def _drop(self, msg: CopyDropped) -> None:
        path = f"{COPY_DROP_PATH}{msg.handle}"
        try:
            call_once("DELETE", msg.address, path, "", DROP_TIMEOUT_S)
        except FAILURES as exc:
            logger.bind(address=msg.address, detail=str(exc)).info("copy_not_dropped")


def _handle(data: bytes) -> str:
    try:
        handle = decode_object(data).get("handle", "")
    except RecordError:
        # Errors of an engine need not be JSON; they name no copy.
        return ""
    return handle if isinstance(handle, str) else str(handle)
