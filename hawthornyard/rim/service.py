"""Speak to a plain service over HTTP."""

import urllib3

from ..core import Inbox
from ..frames import ServiceCall
from ..sidecar.messages import Attempt, EndpointFailed, EndpointReplied

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
_HOP_BY_HOP = frozenset({"connection", "transfer-encoding", "content-length", "date"})


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
                )
        except urllib3.exceptions.NewConnectionError as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, False, str(exc)))
            return
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))
            return
        headers = [
            (name, value)
            for name, value in resp.headers.items()
            if name.lower() not in _HOP_BY_HOP
        ]
        inbox.put(EndpointReplied(attempt.attempt_id, resp.status, headers, resp.data))

    def cancel(self, attempt_id: str) -> None:
        """Do nothing; a plain service knows no cancel."""

    def watch(self, inbox: Inbox) -> None:
        """Do nothing; a plain service is judged by the calls alone."""


def _headers(attempt: Attempt, work: ServiceCall) -> dict[str, str]:
    headers = {name: value for name, value in work.headers}
    headers["X-Request-ID"] = attempt.request_id
    headers["X-Attempt-ID"] = attempt.attempt_id
    return headers
