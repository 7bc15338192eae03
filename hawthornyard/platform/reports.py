"""Fetch the reports of engines and probe the pace of endpoints."""

import eventlet
from loguru import logger

from ..core import Consumers, Inbox
from ..edge.messages import (
    ProbeRequested,
    ReportFailed,
    ReportRead,
    ReportRequested,
)
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


def read_born(
    notices: NoticeReader, endpoint: str, address: str, born: int
) -> int | None:
    """Return the incarnation that answers at the address of an engine.

    Args:
        notices: Reads what the engine says of itself beside its report.
        endpoint: Name of the engine.
        address: "address:port" of the engine.
        born: Incarnation that was there, in Unix milliseconds.

    Returns:
        Start time in Unix milliseconds, 0 if nothing listens there, None if it can't be
        found out.
    """
    try:
        report = _fetch_report(notices, endpoint, address, born)
    except CALL_ERRORS as exc:
        return 0 if is_refused(exc) else None
    return report.born or None if report is not None else None


def _fetch_report(
    notices: NoticeReader, endpoint: str, address: str, born: int
) -> ReportRead | None:
    """Return the report of an engine, None if its answer is no report.

    Raises:
        urllib3.exceptions.HTTPError: If there is no answer.
        http.client.HTTPException: If the answer is not HTTP.
        OSError: If the engine can't be reached.
        ValueError: If the address has no numeric port.
    """
    log = logger.bind(endpoint=endpoint, address=address)
    asked_at = notices.now()
    try:
        answer = call_once("GET", address, REPORT_PATH, "", REPORT_TIMEOUT_S)
    except CALL_ERRORS as exc:
        log.bind(detail=str(exc)).info("report_failed")
        raise
    report = None
    if answer.status == _OK:
        try:
            report = decode_report(endpoint, answer.data)
        except RecordError as exc:
            log.bind(detail=str(exc)).warning("report_unreadable")
            return None
        born = report.born or born
    else:
        log.bind(status=answer.status).info("report_failed")
    notices.read(answer.status, answer.headers, endpoint, born, asked_at, REPORT_PATH)
    return report


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
            answer.status, answer.headers, msg.endpoint, msg.born, asked_at, msg.path
        )

    def _on_report_requested(self, msg: ReportRequested) -> None:
        eventlet.spawn_n(self._fetch, msg)

    def _fetch(self, msg: ReportRequested) -> None:
        try:
            report = _fetch_report(self._notices, msg.endpoint, msg.address, msg.born)
        except CALL_ERRORS as exc:
            failed = ReportFailed(msg.endpoint, msg.born, is_refused=is_refused(exc))
            self._inbox.put(failed)
            return
        if report is not None:
            self._inbox.put(report)
