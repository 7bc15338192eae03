"""Bytes that callers and endpoints of the platform send."""

from features.support.platform_world import KEY

SIGNATURE_HEADERS = (
    b"X-Hawthornyard-Request-Id: {id}\r\nX-Hawthornyard-Response-Seal: s\r\n"
)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + SIGNATURE_HEADERS + b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def event(number: int) -> bytes:
    return b"id: %d\ndata: words\n\n" % number


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_of(*numbers: int) -> bytes:
    return STREAM_HEAD + b"".join(chunk(event(number)) for number in numbers)


BADGE_REQUEST_LINE = b"POST /badge/9?a=1&a=2 HTTP/1.1\r\n"
HOST = b"Host: kiosk.example\r\n"
REQUEST_ID = b"X-Hawthornyard-Request-Id: r-1\r\n"
AUTH = b"Authorization: Bearer " + KEY.encode() + b"\r\n"
CLOSE = b"Connection: close\r\n"
BODY = b"Content-Length: 5\r\n\r\nhello"
VALID_HEADERS = HOST + REQUEST_ID + AUTH + CLOSE
BADGE = (
    BADGE_REQUEST_LINE + VALID_HEADERS + b"X-Hawthornyard-Deadline-Ms: 900\r\n" + BODY
)
SUMMARY = b"POST /summary/9 HTTP/1.1\r\n" + VALID_HEADERS + BODY
