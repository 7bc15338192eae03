"""Extract the lines of one request from decision logs."""

import json
from collections.abc import Iterable
from typing import Any

from .explain import LogLine

_COMMON_FIELDS = ("time", "level", "event", "process", "request_id", "reason")


class LogExtract:
    """The log lines of one request.

    Attributes:
        lines: Lines with the identifier of the request, oldest first.
        n_skipped: Number of lines that are not JSON objects.
    """

    __slots__ = ("lines", "n_skipped")

    def __init__(self, lines: list[LogLine], n_skipped: int) -> None:
        self.lines = lines
        self.n_skipped = n_skipped


def extract_lines(texts: Iterable[str], request_id: str) -> LogExtract:
    """Return the log lines of a request, sorted by time.

    Args:
        texts: Lines of any number of logs, in any order.
        request_id: Identifier of the request.
    """
    lines = []
    n_skipped = 0
    for text in texts:
        if not text.strip():
            continue
        body = _parse(text)
        if body is None:
            n_skipped += 1
            continue
        if body.get("request_id") == request_id:
            lines.append(_to_log_line(body))
    return LogExtract(sorted(lines, key=lambda line: line.time), n_skipped)


def _parse(text: str) -> dict[str, Any] | None:
    try:
        body = json.loads(text)
    except ValueError:
        return None
    return body if isinstance(body, dict) else None


def _to_log_line(body: dict[str, Any]) -> LogLine:
    details = {key: value for key, value in body.items() if key not in _COMMON_FIELDS}
    return LogLine(
        str(body.get("time", "")),
        str(body.get("process", "")),
        str(body.get("event", "")),
        str(body.get("reason", "")),
        details,
    )
