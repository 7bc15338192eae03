"""Validate the field lines of HTTP heads and trailer sections as they are read.

The standard library parses heads as it parses mail: at a line that is no field it stops
and drops the fields that follow, with those that delimit the body.
"""

import re
from http.client import HTTPException, RemoteDisconnected
from typing import BinaryIO

MAX_SHOWN_BYTES = 80
"""Bytes of a refused line that the error shows; it goes into log lines."""

LINE_ENDS = (b"\r\n", b"\n")
"""Lines that end a head."""

_FIELD_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*+)\r?\n"
)


class FieldLineError(HTTPException):
    """A line of a head or trailer section that is no field."""


def check_field_line(line: bytes) -> bytes:
    """Validate a field line and return it without whitespace after its value.

    The form is that of RFC 9112, section 5: a token, a colon that follows at once, and
    a value on one line without control bytes but tabs. The carriage return may be
    missing.

    Args:
        line: The line with its end.

    Raises:
        FieldLineError: If the line has another form.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        raise FieldLineError(
            f"{line[:MAX_SHOWN_BYTES]!r} is no field line, expected a name, a colon "
            "and a value without control bytes"
        )
    return match[1].rstrip(b" \t") + b"\r\n"


class FieldReader:
    """File of the fields of a head, each validated as it is read.

    Args:
        fp: File at the first field.
    """

    __slots__ = ("_fp",)

    def __init__(self, fp: BinaryIO) -> None:
        self._fp = fp

    def readline(self, size: int = -1) -> bytes:
        """Return the next field line, or the empty line that ends the head.

        Args:
            size: Longest line in bytes, -1 for any.

        Raises:
            FieldLineError: If the line is neither.
            RemoteDisconnected: If the file ends within the head.
        """
        line = self._fp.readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise RemoteDisconnected("the head of the response is cut")
        return line if line in LINE_ENDS else check_field_line(line)
