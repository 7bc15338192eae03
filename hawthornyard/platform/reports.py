"""Fetch the reports of engines and probe the pace of endpoints."""

import eventlet
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import ProbeRequested, ReportFailed, ReportRequested
from ..errors import RecordError
from ..io.endpoint_calls import CALL_ERRORS, call_once, is_refused
from .endpoint import decode_report
from .names import REPORT_PATH
from .notices import NoticeReader

REPORT_TIMEOUT_S = 0.5
"""Timeout for a report; most take some milliseconds, and a later one is out of date."""

PROBE_TIMEOUT_S = 0.25
"""Timeout for a probe; endpoints respond at once, and a later figure is out of date."""

_OK = 200


def read_born(endpoint: str, address: str) -> int | None:
    """Return the incarnation that answers at the address of an engine.

    Args:
        endpoint: Name of the engine.
        address: "address:port" of the engine.

    Returns:
        Start time in Unix milliseconds, 0 if nothing listens there, None if it can't be
        found out.
    """
    log = logger.bind(endpoint=endpoint, address=address)
    try:
        answer = call_once("GET", address, REPORT_PATH, "", REPORT_TIMEOUT_S)
        if answer.status != _OK:
            log.bind(status=answer.status).info("report_failed")
            return None
        report = decode_report(endpoint, answer.data)
    except (*CALL_ERRORS, RecordError) as exc:
        log.bind(detail=str(exc)).info("report_failed")
        return 0 if is_refused(exc) else None
    return report.born or None


class ReportSink:
    """Sink that fetches each report in its own green thread.

    Args:
        inbox: Receives the reports, and a `ReportFailed` for each call without an
            answer; an answer that is no report is only logged.
        notices: Reads what the engines say of themselves beside their reports.
    """

    __slots__ = ("_inbox", "_notices", "consumers")

    def __init__(self, inbox: Inbox, notices: NoticeReader) -> None:
        self._inbox = inbox
        self._notices = notices
        self.consumers: Consumers = {
            ProbeRequested: self._on_probe_requested,
            ReportRequested: self._on_report_requested,
        }

    def _on_probe_requested(self, msg: ProbeRequested) -> None:
        eventlet.spawn_n(self._probe, msg)

    def _probe(self, msg: ProbeRequested) -> None:
        asked_at = self._notices.now()
        try:
            answer = call_once("GET", msg.address, msg.path, "", PROBE_TIMEOUT_S)
        except CALL_ERRORS as exc:
            logger.bind(
                endpoint=msg.endpoint, address=msg.address, detail=str(exc)
            ).info("probe_failed")
            return
        self._notices.read(
            answer.status, answer.headers, msg.endpoint, msg.born, asked_at
        )

    def _on_report_requested(self, msg: ReportRequested) -> None:
        eventlet.spawn_n(self._fetch, msg)

    def _fetch(self, msg: ReportRequested) -> None:
        log = logger.bind(endpoint=msg.endpoint, address=msg.address)
        asked_at = self._notices.now()
        try:
            answer = call_once("GET", msg.address, REPORT_PATH, "", REPORT_TIMEOUT_S)
        except CALL_ERRORS as exc:
            log.bind(detail=str(exc)).info("report_failed")
            self._inbox.put(
                ReportFailed(msg.endpoint, msg.born, is_refused=is_refused(exc))
            )
            return
        self._notices.read(
            answer.status, answer.headers, msg.endpoint, msg.born, asked_at
        )
        if answer.status != _OK:
            log.bind(status=answer.status).info("report_failed")
            return
        try:
            report = decode_report(msg.endpoint, answer.data)
        except RecordError as exc:
            log.bind(detail=str(exc)).warning("report_unreadable")
            return
        self._inbox.put(report)
