"""Call a platform service over HTTP, with limits on the time and size of responses."""

import json
import time
from collections.abc import Mapping
from typing import Any

import urllib3

from ..core import Message
from ..errors import OversizedMessageError, OversizedResponseError, PlatformError
from ..net import BoundedConnection, get_connection, new_pool, read_body

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 30.0
"""The largest response takes 27 s over a link of 5 Mbit/s, the narrowest expected."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class HttpResponse(Message):
    """A complete response of a platform service.

    Attributes:
        status: HTTP status code, below 300 or one that the caller expects.
        data: Body.
        headers: Headers.
        read_s: Seconds from the end of the head to that of the body.
    """

    __slots__ = ("status", "data", "headers", "read_s")

    def __init__(
        self, status: int, data: bytes, headers: Mapping[str, str], read_s: float
    ) -> None:
        self.status = status
        self.data = data
        self.headers = headers
        self.read_s = read_s


class HttpService:
    """Client of one platform service over HTTP.

    Args:
        name: Name of the service in error messages.
        url: Base URL of the service.
        connect_timeout_s: Timeout of connecting, in seconds.
        read_timeout_s: Seconds within which the head of a response must arrive, and
            after it each next part.
        response_timeout_s: Seconds from its head within which a response must arrive
            whole.
        max_response_bytes: Largest body that is accepted.
    """

    __slots__ = (
        "_max_response_bytes",
        "_name",
        "_pool",
        "_read_timeout_s",
        "_response_timeout_s",
        "_timeout",
        "_url",
    )

    def __init__(
        self,
        name: str,
        url: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._name = name
        self._url = url.rstrip("/")
        self._pool = new_pool()
        self._timeout = urllib3.Timeout(connect=connect_timeout_s, read=read_timeout_s)
        self._read_timeout_s = read_timeout_s
        self._response_timeout_s = response_timeout_s
        self._max_response_bytes = max_response_bytes

    def call(
        self,
        method: str,
        path: str,
        *,
        fields: dict[str, str] | None = None,
        data: bytes | None = None,
        expected_statuses: frozenset[int] = frozenset(),
        timeout_s: float | None = None,
        response_timeout_s: float | None = None,
        max_response_bytes: int | None = None,
    ) -> HttpResponse:
        """Send one request, without retries or redirects.

        Args:
            method: HTTP method.
            path: Path below the service's URL.
            fields: Query fields.
            data: Request body.
            expected_statuses: Statuses from 300 up that are returned, not raised.
            timeout_s: Seconds within which the head of the response must arrive, None
                for the default.
            response_timeout_s: Seconds from its head within which the response must
                arrive whole, None for the default.
            max_response_bytes: Largest body that is accepted, None for the default.

        Raises:
            OversizedResponseError: If the response is over the size limit, or was
                dropped as all messages of this process together are.
            PlatformError: If there was no response, or one with an unexpected status.
        """
        timeout = self._timeout
        if timeout_s is not None:
            timeout = urllib3.Timeout(connect=timeout.connect_timeout, read=timeout_s)
        conn: BoundedConnection | None = None
        try:
            resp = self._pool.request(
                method,
                self._url + path,
                fields=fields,
                body=data,
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            conn = get_connection(resp)
            conn.limit_progress(
                self._read_timeout_s, response_timeout_s or self._response_timeout_s
            )
            started_at = time.monotonic()
            body = read_body(
                resp, max_response_bytes or self._max_response_bytes, is_reserved=True
            )
            read_s = time.monotonic() - started_at
            response = HttpResponse(resp.status, body, resp.headers, read_s)
        except OversizedMessageError as exc:
            raise OversizedResponseError(f"{self._name}: {exc}") from exc
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            n_received = conn.n_received if conn is not None else 0
            raise PlatformError(f"{self._name}: {exc}", n_received=n_received) from exc
        if response.status >= 300 and response.status not in expected_statuses:
            raise PlatformError(f"{self._name} answered with status {response.status}")
        return response

    def call_json(
        self,
        method: str,
        path: str,
        *,
        fields: dict[str, str] | None = None,
        body: Any = None,
        expected_statuses: frozenset[int] = frozenset(),
    ) -> Any:
        """Send one request with a JSON body and return the decoded response.

        Args:
            method: HTTP method.
            path: Path below the service's URL.
            fields: Query fields.
            body: Request body, encoded as JSON; None for no body.
            expected_statuses: Statuses from 300 up that are returned, not raised.

        Raises:
            PlatformError: If `call` fails, or the response is not JSON.
        """
        data = json.dumps(body).encode() if body is not None else None
        response = self.call(
            method, path, fields=fields, data=data, expected_statuses=expected_statuses
        )
        try:
            return json.loads(response.data)
        except ValueError as exc:
            raise PlatformError(f"{self._name}: {exc}") from exc
