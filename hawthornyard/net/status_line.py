"""Read the status lines of HTTP responses strictly."""

import http.client
import re
from typing import BinaryIO

from ..core import Message
from .field_lines import LINE_ENDS, MAX_SHOWN_BYTES, FieldReader

SWITCHING_PROTOCOLS = 101

_STATUS_LINE = re.compile(
    rb"(HTTP/1\.[01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n"
)


class StatusLine(Message):
    """A status line.

    Attributes:
        version: "HTTP/1.0" or "HTTP/1.1".
        status: Status from 100 to 599.
        reason: Reason phrase, empty if there is none.
    """

    __slots__ = ("version", "status", "reason")

    def __init__(self, version: str, status: int, reason: str) -> None:
        self.version = version
        self.status = status
        self.reason = reason


def parse_status_line(line: bytes) -> StatusLine:
    """Return the fields of a status line.

    The form is that of RFC 9112, section 4, with one space between the fields; the
    reason phrase, its space and the carriage return may be missing.

    Args:
        line: The line with its end.

    Raises:
        http.client.BadStatusLine: If the line has another form.
    """
    match = _STATUS_LINE.fullmatch(line)
    if match is None:
        raise http.client.BadStatusLine(
            f"{line[:MAX_SHOWN_BYTES]!r} is no status line, expected HTTP/1.0 or "
            "HTTP/1.1, a space and a status of 3 digits from 100 to 599"
        )
    version, status, reason = match.groups(default=b"")
    return StatusLine(version.decode(), int(status), reason.decode("iso-8859-1"))


def read_final_status(fp: BinaryIO, max_bytes: int) -> StatusLine:
    """Read up to the status line of the final response and return its fields.

    Interim responses are skipped, but their heads must be valid as well.

    Args:
        fp: Stream at the first byte of a response.
        max_bytes: Longest line in bytes.

    Raises:
        http.client.BadStatusLine: If a status line is malformed, or if the server
            switches to another protocol, for which no call asks.
        FieldLineError: If a field of an interim response is malformed.
        http.client.RemoteDisconnected: If the stream ends before the final response.
    """
    fields = FieldReader(fp)
    while True:
        line = fp.readline(max_bytes)
        if not line:
            raise http.client.RemoteDisconnected(
                "the connection ended without a response"
            )
        found = parse_status_line(line)
        if found.status == SWITCHING_PROTOCOLS:
            raise http.client.BadStatusLine(
                "status 101 switches the protocol, expected a response"
            )
        if found.status >= 200:
            return found
        while fields.readline(max_bytes) not in LINE_ENDS:
            pass
