"""Call a plain service over HTTP."""

import urllib3

from ..core import Inbox, Message
from ..frames import ServiceCall
from ..net import new_pool, read_body
from ..sidecar.messages import Attempt, EndpointFailed, EndpointReplied

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 2 * 1024 * 1024
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class ServiceClient:
    """Client of one plain service; each call has a connection of its own.

    Args:
        url: Base URL of the service.
        read_timeout_s: Seconds within which the whole response must arrive.
    """

    __slots__ = ("_timeout", "_url")

    def __init__(self, url: str, *, read_timeout_s: float = READ_TIMEOUT_S) -> None:
        self._url = url.rstrip("/")
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)

    def run(self, attempt: Attempt, inbox: Inbox) -> None:
        """Run a call once; see `EndpointClient.run`."""
        work = attempt.work
        assert isinstance(work, ServiceCall)
        try:
            inbox.put(self._call(attempt, work))
        except _CONNECT_ERRORS as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, False, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))

    def _call(self, attempt: Attempt, work: ServiceCall) -> Message:
        # No connection is reused: a call over one that the service has closed fails,
        # and it is unknown whether it ran.
        with new_pool() as pool:
            resp = pool.request(
                work.method,
                self._url + work.path,
                body=work.body or None,
                headers=_headers(attempt, work),
                timeout=self._timeout,
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            body = read_body(resp, MAX_RESPONSE_BYTES)
        headers = list(resp.headers.items())
        return EndpointReplied(attempt.attempt_id, resp.status, headers, body)

    def cancel(self, attempt_id: str) -> None:
        """Do nothing; a plain service has no way to cancel a call."""

    def poll_load(self, inbox: Inbox) -> None:
        """Do nothing; a plain service reports no load."""


def _headers(attempt: Attempt, work: ServiceCall) -> dict[str, str]:
    headers = {name: value for name, value in work.headers}
    headers["X-Request-ID"] = attempt.request_id
    headers["X-Attempt-ID"] = attempt.attempt_id
    return headers
