"""Read callers' HTTP requests strictly."""

import re
from typing import Any

from eventlet import wsgi

from ..edge.directory import Directory

CLOSE_KEY = "hawthornyard.close_connection"
"""Key of the WSGI environment with a callable that ends the connection."""

_REFUSAL = (
    b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_DIGITS = re.compile(r"[0-9]{1,12}")
# Headers that decide how a request is read or whose it is.
_SINGLE = ("content-length", "transfer-encoding", "host")


def strict_protocol(directory: Directory) -> type[wsgi.HttpProtocol]:
    """Return the protocol class of a listener.

    Args:
        directory: Tells what callers may send.
    """

    class StrictProtocol(wsgi.HttpProtocol):  # type: ignore[misc]
        """Refuse requests that two readers could read differently."""

        def setup(self) -> None:
            self.server.keepalive = directory.limits.idle_timeout_s
            super().setup()

        def parse_request(self) -> bool:
            self.connection.settimeout(directory.limits.header_timeout_s)
            if not super().parse_request():
                # The base class has answered; what follows can't be trusted.
                self.close_connection = True
                return False
            self.connection.settimeout(self.server.socket_timeout)
            status, reason = self._refusal()
            if not status:
                return True
            self.wfile.write(_REFUSAL % (status, reason))
            self.wfile.flush()
            self.close_connection = True
            return False

        def _refusal(self) -> tuple[int, bytes]:
            headers = self.headers
            n_bytes = sum(len(name) + len(value) + 4 for name, value in headers.items())
            if n_bytes > directory.limits.max_header_bytes:
                return 431, b"Request Header Fields Too Large"
            bad = 400, b"Bad Request"
            if headers.defects or headers.get_payload():
                return bad
            if not all(_TOKEN.fullmatch(name) for name in headers):
                return bad
            if any("\n" in value or "\r" in value for value in headers.values()):
                return bad
            if any(len(headers.get_all(name, [])) > 1 for name in _SINGLE):
                return bad
            length = headers.get("content-length")
            coding = headers.get("transfer-encoding")
            if coding is not None:
                is_plain = coding.strip().lower() == "chunked"
                if not is_plain or length is not None:
                    return bad
                if self.request_version != "HTTP/1.1":
                    return bad
            if length is not None and not _DIGITS.fullmatch(length.strip()):
                return bad
            return 0, b""

        def get_environ(self) -> dict[str, Any]:
            environ: dict[str, Any] = super().get_environ()
            environ[CLOSE_KEY] = self._close_after_answer
            return environ

        def _close_after_answer(self) -> None:
            self.close_connection = True

        def log_message(self, format: str, *args: object) -> None:
            self.server.log.debug(format % args)

    return StrictProtocol
