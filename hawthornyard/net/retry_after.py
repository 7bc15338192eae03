"""Decode the Retry-After fields of responses (RFC 9110, section 10.2.3)."""

import re
from datetime import datetime

_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")
# Stands for all numbers above it; a longer one may have no finite value.
_MOST_SECONDS = 999_999_999.0
# The formats of RFC 9110 that a recipient must accept, the first is the preferred one.
_DATE_FORMATS = (
    "%a, %d %b %Y %H:%M:%S GMT",
    "%A, %d-%b-%y %H:%M:%S GMT",
    "%a %b %d %H:%M:%S %Y",
)


def decode_retry_after(text: str, answer_date: str) -> float | None:
    """Return the seconds in a Retry-After header.

    Args:
        text: A decimal number of seconds, or a date.
        answer_date: Date header of the same answer. A date is compared with it, as the
            clock of the endpoint may differ from the gateway's.

    Returns:
        Seconds, 0 for a date that has passed, None if the text is anything else.
    """
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return min(float(text), _MOST_SECONDS)
    until, since = _decode_date(text), _decode_date(answer_date.strip())
    if until is None or since is None:
        return None
    return max(0.0, (until - since).total_seconds())


def _decode_date(text: str) -> datetime | None:
    for date_format in _DATE_FORMATS:
        try:
            return datetime.strptime(text, date_format)
        except ValueError:
            continue
    return None
