"""Run attempts at the sidecar's endpoint."""

from typing import Any, Protocol

import eventlet

from ..core import Consumers, Inbox
from ..sidecar.messages import Attempt, CallEndpoint, CancelCall, EndpointFailed


class EndpointClient(Protocol):
    """Client of one kind of endpoint."""

    def run(self, attempt: Attempt, inbox: Inbox) -> None:
        """Run an attempt once, without retries, and put its output into the inbox."""
        ...

    def cancel(self, attempt_id: str) -> None:
        """Tell the endpoint to stop an attempt."""
        ...

    def poll_load(self, inbox: Inbox) -> None:
        """Put load reports into the inbox; returns if the endpoint has none."""
        ...


class EndpointSink:
    """Sink that runs each attempt in a green thread of its own.

    Args:
        client: Client of the endpoint.
        inbox: Receives the output of attempts.
    """

    __slots__ = ("_client", "_inbox", "_threads", "consumers")

    def __init__(self, client: EndpointClient, inbox: Inbox) -> None:
        self._client = client
        self._inbox = inbox
        self._threads: dict[str, Any] = {}
        self.consumers: Consumers = {
            CallEndpoint: self._on_call_endpoint,
            CancelCall: self._on_cancel_call,
        }

    def _on_call_endpoint(self, msg: CallEndpoint) -> None:
        attempt = msg.attempt
        self._threads[attempt.attempt_id] = eventlet.spawn(self._run, attempt)

    def _run(self, attempt: Attempt) -> None:
        try:
            self._client.run(attempt, self._inbox)
        except Exception as exc:
            self._inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))
        finally:
            self._threads.pop(attempt.attempt_id, None)

    def _on_cancel_call(self, msg: CancelCall) -> None:
        thread = self._threads.pop(msg.attempt_id, None)
        if thread is not None:
            thread.kill()
            eventlet.spawn_n(self._client.cancel, msg.attempt_id)
