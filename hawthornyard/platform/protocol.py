"""Parse callers' HTTP requests strictly, against request smuggling."""

import re

from ..edge.directory import Directory
from ..front.server import ServerProtocol

_ERROR_RESPONSE = (
    b"HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 0\r\n\r\n"
)
_LENGTH = re.compile(r"[0-9]{1,12}")
# Headers that determine the framing or the addressee of a request.
_SINGLE_VALUED = ("content-length", "transfer-encoding", "host")


def strict_protocol(directory: Directory) -> type[ServerProtocol]:
    """Return a protocol class that enforces the limits of a directory.

    Args:
        directory: Holds the limits on what callers may send.
    """

    class StrictProtocol(ServerProtocol):
        """HTTP protocol that refuses requests with more than one interpretation."""

        def setup(self) -> None:
            self.server.keepalive = directory.limits.idle_timeout_s
            self.head_timeout_s = directory.limits.header_timeout_s
            self.max_head_bytes = directory.limits.max_header_bytes
            super().setup()

        def parse_request(self) -> bool:
            if not super().parse_request():
                return False
            status, reason = self._find_error()
            if not status:
                return True
            self.wfile.write(_ERROR_RESPONSE % (status, reason))
            self.wfile.flush()
            self.close_connection = True
            return False

        def _find_error(self) -> tuple[int, bytes]:
            # Returns status 0 and no reason for a valid request.
            headers = self.headers
            bad_request = 400, b"Bad Request"
            if any(len(headers.get_all(name, [])) > 1 for name in _SINGLE_VALUED):
                return bad_request
            length = headers.get("content-length")
            transfer_coding = headers.get("transfer-encoding")
            if transfer_coding is not None:
                is_chunked = transfer_coding.strip().lower() == "chunked"
                if not is_chunked or length is not None:
                    return bad_request
                if self.request_version != "HTTP/1.1":
                    return bad_request
            if length is not None and not _LENGTH.fullmatch(length.strip()):
                return bad_request
            return 0, b""

    return StrictProtocol
