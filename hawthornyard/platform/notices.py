"""Read what endpoints say of themselves in the headers of their answers."""

import re
from collections.abc import Mapping

from loguru import logger

from ..core import Clock, Inbox
from ..edge.messages import EndpointNotice
from ..edge.pace import MAX_FACTOR, MIN_FACTOR
from ..errors import RecordError
from ..net import decode_retry_after
from .fields import shorten
from .names import (
    ENDPOINT_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    RETRY_AFTER_HEADER,
    SERVER_LOAD_HEADER,
    SIGNATURE_HEADER,
)

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_FIGURE = re.compile(r"[0-9]{1,9}")
_USUAL_PACE = 100
_MISDIRECTED = 421
_UNAVAILABLE = 503


class NoticeReader:
    """Reader of the notices in the answers of endpoints.

    Args:
        inbox: Receives a notice for each answer of the endpoint that was asked.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_inbox")

    def __init__(self, inbox: Inbox, clock: Clock) -> None:
        self._inbox = inbox
        self._clock = clock

    def now(self) -> float:
        """Return the monotonic time in seconds, for `read`."""
        return self._clock.now()

    def read(
        self,
        status: int,
        headers: Mapping[str, str],
        endpoint: str,
        born: int,
        asked_at: float,
        call: str,
    ) -> None:
        """Put the notices of one answer into the inbox.

        Args:
            status: HTTP status of the answer.
            headers: Headers of the answer.
            endpoint: Name of the endpoint that was asked.
            born: Incarnation that was asked, in Unix milliseconds.
            asked_at: Monotonic time in seconds at which the request was sent.
            call: Identifier of the caller's request, or the path of another call.
        """
        if status == _MISDIRECTED or headers.get(ENDPOINT_HEADER, endpoint) != endpoint:
            # Another endpoint answers at the address.
            return
        limit_text = headers.get(LIMIT_HEADER)
        limit_per_s = None
        if limit_text is not None:
            limit_per_s = decode_decimal(limit_text)
            if limit_per_s is None:
                _log_unreadable(endpoint, LIMIT_HEADER, limit_text)
        self._inbox.put(
            EndpointNotice(
                endpoint,
                born,
                asked_at,
                # An unreadable limit neither sets one nor tells that there is none.
                is_signed=SIGNATURE_HEADER in headers
                and (limit_text is None or limit_per_s is not None),
                limit_per_s=limit_per_s,
                pace_factor=_read_pace(headers, endpoint),
                pause_s=_read_pause(status, headers, endpoint),
                is_leaving=_read_leaving(headers, endpoint),
                call=call,
            )
        )


def _log_unreadable(endpoint: str, header: str, text: str) -> None:
    log = logger.bind(endpoint=endpoint, header=header, value=text[:100])
    log.warning("notice_unreadable")


def _read_leaving(headers: Mapping[str, str], endpoint: str) -> bool:
    text = headers.get(LEAVING_HEADER, "0")
    # The values of a repeated header are joined by commas.
    values = {value.strip() for value in text.split(",")}
    if not values <= {"0", "1"}:
        _log_unreadable(endpoint, LEAVING_HEADER, text)
    return "1" in values


def _read_pace(headers: Mapping[str, str], endpoint: str) -> float | None:
    text = headers.get(SERVER_LOAD_HEADER)
    if text is None:
        return None
    try:
        return decode_pace(text)
    except RecordError as exc:
        logger.bind(
            endpoint=endpoint, header=SERVER_LOAD_HEADER, detail=str(exc)
        ).warning("notice_unreadable")
        return None


def _read_pause(status: int, headers: Mapping[str, str], endpoint: str) -> float | None:
    # With other statuses the time is meant for the caller, or for its team.
    text = headers.get(RETRY_AFTER_HEADER)
    if status != _UNAVAILABLE or text is None:
        return None
    pause_s = decode_retry_after(text, headers.get("Date", ""))
    if pause_s is None:
        _log_unreadable(endpoint, RETRY_AFTER_HEADER, text)
    return pause_s


def decode_pace(text: str) -> float | None:
    """Return the pace in a load header, None if it has no such figure.

    Args:
        text: Running, waiting and slots, and on some deployments the pace in percent.

    Returns:
        Time that work takes, relative to the usual time.

    Raises:
        RecordError: If the figures are malformed or out of bounds.
    """
    figures = [figure.strip() for figure in text.split(",")]
    if len(figures) not in (3, 4) or not all(map(_FIGURE.fullmatch, figures)):
        raise RecordError(
            f"the load is {shorten(text)}, expected 3 or 4 integers of up to 9 digits"
        )
    if len(figures) == 3:
        return None
    factor = int(figures[3]) / _USUAL_PACE
    if not MIN_FACTOR <= factor <= MAX_FACTOR:
        raise RecordError(
            f"the pace is {figures[3]}, expected {MIN_FACTOR * _USUAL_PACE:g} to "
            f"{MAX_FACTOR * _USUAL_PACE:g}"
        )
    return factor


def decode_decimal(text: str) -> float | None:
    """Return a number from 0 up with up to 9 digits before and after the point.

    Returns:
        The number, None if the text is anything else.
    """
    return float(text) if _DECIMAL.fullmatch(text.strip()) else None
