"""Process that sends a prefix and then the same bytes again and again.

Run as `python -m features.support.endless PREFIX UNIT [PORT]`, both texts in
hexadecimal. Without a port, it prints the one that it listens on and sends to whoever
connects; `%d` in the unit is then replaced by 1, 2, 3 and so on. With a port, it
connects there.
"""

import contextlib
import re
import socket
import sys
import time

MAX_SECONDS = 8.0
"""Time after which a connection is given up, so that a receiver that reads on is seen
to read that long, and a test ends."""
UNITS_PER_SEND = 200
_REQUEST_ID = re.compile(rb"x-hawthornyard-request-id: *(\S+)", re.IGNORECASE)


def main() -> None:
    prefix, unit = (bytes.fromhex(text) for text in sys.argv[1:3])
    if len(sys.argv) > 3:
        sock = socket.create_connection(("127.0.0.1", int(sys.argv[3])))
        _send_without_end(sock, prefix, unit)
        return
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    while True:
        sock, _ = listener.accept()
        request = sock.recv(65536)
        match = _REQUEST_ID.search(request)
        request_id = match[1] if match else b""
        _send_without_end(sock, prefix.replace(b"{id}", request_id), unit)


def _send_without_end(sock: socket.socket, prefix: bytes, unit: bytes) -> None:
    sock.settimeout(MAX_SECONDS)
    end = time.monotonic() + MAX_SECONDS
    n_sent = 0
    with contextlib.suppress(OSError):
        sock.sendall(prefix)
        while time.monotonic() < end:
            if b"%d" in unit:
                data = b"".join(
                    unit % number
                    for number in range(n_sent + 1, n_sent + 1 + UNITS_PER_SEND)
                )
                n_sent += UNITS_PER_SEND
            else:
                data = unit * UNITS_PER_SEND
            sock.sendall(data)
    sock.close()


if __name__ == "__main__":
    main()
