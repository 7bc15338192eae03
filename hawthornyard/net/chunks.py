"""Decode chunked HTTP bodies strictly (RFC 9112, section 7.1)."""

import re
import sys
from collections.abc import Callable
from http.client import HTTPException

from .field_lines import FieldLineError, check_field_line

MAX_LINE_BYTES = 8192
"""Longest line of a chunk's size, with its extensions, or of a trailer field."""

MAX_TRAILER_BYTES = 65_536
"""Largest trailer section."""

MAX_FEED_LINES = sys.maxsize
"""Lines that a feed decodes if no bound is asked for."""

_LINE_END = b"\r\n"
_SMALL_SIZES = {b"%x" % size: size for size in range(1, 256)} | {
    b"%X" % size: size for size in range(1, 256)
}
_MAX_SMALL_LINE_BYTES = 4
_SIZE = re.compile(rb"([0-9A-Fa-f]+)(?:[ \t]*;[^\r\n]*)?\r\n")


class ChunkError(HTTPException):
    """A chunked body that is malformed."""


class ChunkDecoder:
    """Incremental decoder of one chunked body.

    The body is complete only after the line that ends its trailer section: a size
    line that is cut can look like the one of the last chunk.

    Attributes:
        is_complete: Whether the whole body has been fed.
        n_excess: Bytes of the last feed that were not decoded, behind the end of the
            body or beyond the lines that were asked for.
        n_lines: Lines of the framing that the last feed decoded.
    """

    __slots__ = (
        "_line",
        "_n_data_left",
        "_n_trailer_bytes",
        "_take_line",
        "is_complete",
        "n_excess",
        "n_lines",
    )

    def __init__(self) -> None:
        self.is_complete = False
        self.n_excess = 0
        self.n_lines = 0
        self._line = bytearray()
        self._n_data_left = 0
        self._n_trailer_bytes = 0
        self._take_line: Callable[[bytes], None] = self._take_size

    def feed(self, data: bytes, max_lines: int = MAX_FEED_LINES) -> bytes:
        """Add bytes from the wire and return the bytes of the body that they hold.

        Bytes behind the end of the body are only counted.

        Args:
            data: Bytes from the wire.
            max_lines: Lines of the framing after which to stop. Their number decides
                how long the call takes, as data is copied at once.

        Raises:
            ChunkError: If the body is malformed.
        """
        body = bytearray()
        start = 0
        self.n_lines = 0
        while start < len(data) and not self.is_complete and self.n_lines < max_lines:
            if self._n_data_left:
                piece = data[start : start + self._n_data_left]
                body += piece
                self._n_data_left -= len(piece)
                start += len(piece)
                continue
            if not self._line and self._take_line == self._take_size:
                start = self._take_small_chunks(data, start, max_lines, body)
                if self.n_lines >= max_lines:
                    break
            line_end = data.find(b"\n", start) + 1
            stop = line_end or len(data)
            self._line += data[start:stop]
            start = stop
            if len(self._line) > MAX_LINE_BYTES:
                raise ChunkError(
                    f"a line of the chunked body is over {MAX_LINE_BYTES} bytes"
                )
            if line_end:
                line = bytes(self._line)
                self._line.clear()
                self.n_lines += 1
                self._take_line(line)
        self.n_excess = len(data) - start
        return bytes(body)

    def _take_small_chunks(
        self, data: bytes, start: int, max_lines: int, body: bytearray
    ) -> int:
        # Whole small chunks take a fraction of the time that their lines do one by one.
        # Returns where the first other chunk begins.
        find = data.find
        n_lines = self.n_lines
        while n_lines < max_lines:
            line_end = find(_LINE_END, start, start + _MAX_SMALL_LINE_BYTES)
            if line_end < 0:
                break
            size = _SMALL_SIZES.get(data[start:line_end])
            if size is None:
                break
            stop = line_end + 2 + size
            if data[stop : stop + 2] != _LINE_END:
                break
            body += data[line_end + 2 : stop]
            start = stop + 2
            n_lines += 2
        self.n_lines = n_lines
        return start

    def _take_size(self, line: bytes) -> None:
        match = _SIZE.fullmatch(line)
        if match is None:
            raise ChunkError(
                f"the line of a chunk's size is {line[:100]!r}, expected hexadecimal "
                "digits, extensions if any, and CR LF"
            )
        self._n_data_left = int(match[1], 16)
        self._take_line = (
            self._take_data_end if self._n_data_left else self._take_trailer
        )

    def _take_data_end(self, line: bytes) -> None:
        if line != _LINE_END:
            raise ChunkError(f"a chunk is followed by {line[:100]!r}, expected CR LF")
        self._take_line = self._take_size

    def _take_trailer(self, line: bytes) -> None:
        if line == _LINE_END:
            self.is_complete = True
            return
        if not line.endswith(_LINE_END):
            raise ChunkError(
                f"a line of the trailer section ends with {line[-2:]!r}, expected CR LF"
            )
        try:
            check_field_line(line)
        except FieldLineError as exc:
            raise ChunkError(f"trailer section: {exc}") from exc
        self._n_trailer_bytes += len(line)
        if self._n_trailer_bytes > MAX_TRAILER_BYTES:
            raise ChunkError(f"the trailer section is over {MAX_TRAILER_BYTES} bytes")
