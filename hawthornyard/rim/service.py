"""Speak to a plain service over HTTP."""

import urllib3

from ..core import Inbox, Message
from ..frames import ServiceCall
from ..sidecar.messages import Attempt, EndpointFailed, EndpointReplied

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 2 * 1024 * 1024
_CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class ServiceClient:
    """Run calls at one plain service, each on a connection of its own.

    Args:
        url: Base URL of the service.
        read_timeout_s: Bound on the wait for the answer.
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
        # A pooled connection closed by the peer would fail ambiguously.
        with urllib3.PoolManager() as pool:
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
            body = resp.read(MAX_RESPONSE_BYTES + 1)
        if len(body) > MAX_RESPONSE_BYTES:
            detail = f"the answer is over {MAX_RESPONSE_BYTES} bytes"
            return EndpointFailed(attempt.attempt_id, True, detail)
        # A bounded read reports no early end of the body by itself.
        if resp.length_remaining:
            return EndpointFailed(attempt.attempt_id, True, "the answer is cut off")
        headers = list(resp.headers.items())
        return EndpointReplied(attempt.attempt_id, resp.status, headers, body)

    def cancel(self, attempt_id: str) -> None:
        """Do nothing; a plain service knows no cancel."""

    def watch(self, inbox: Inbox) -> None:
        """Do nothing; a plain service is judged by the calls alone."""


def _headers(attempt: Attempt, work: ServiceCall) -> dict[str, str]:
    headers = {name: value for name, value in work.headers}
    headers["X-Request-ID"] = attempt.request_id
    headers["X-Attempt-ID"] = attempt.attempt_id
    return headers
