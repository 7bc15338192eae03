"""Fetch the reports of engines."""

import eventlet
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import ReportRequested
from ..errors import RecordError
from .connections import CALL_ERRORS, call_once
from .endpoint import decode_report
from .names import REPORT_PATH

REPORT_TIMEOUT_S = 0.5
"""Timeout for a report; most take some milliseconds, and a later one is out of date."""

_OK = 200


class ReportSink:
    """Sink that fetches each report in its own green thread.

    Args:
        inbox: Receives the reports; a failure is only logged.
    """

    __slots__ = ("_inbox", "consumers")

    def __init__(self, inbox: Inbox) -> None:
        self._inbox = inbox
        self.consumers: Consumers = {ReportRequested: self._on_report_requested}

    def _on_report_requested(self, msg: ReportRequested) -> None:
        eventlet.spawn_n(self._fetch, msg)

    def _fetch(self, msg: ReportRequested) -> None:
        log = logger.bind(endpoint=msg.endpoint, address=msg.address)
        try:
            status, data = call_once(
                "GET", msg.address, REPORT_PATH, "", REPORT_TIMEOUT_S
            )
        except CALL_ERRORS as exc:
            log.bind(detail=str(exc)).info("report_failed")
            return
        if status != _OK:
            log.bind(status=status).info("report_failed")
            return
        try:
            report = decode_report(msg.endpoint, data)
        except RecordError as exc:
            log.bind(detail=str(exc)).warning("report_unreadable")
            return
        self._inbox.put(report)
