"""Run attempts at the endpoint beside the sidecar."""

from typing import Any, Protocol

import eventlet

from ..core import Consumers, Inbox
from ..sidecar.messages import Attempt, CallEndpoint, CancelCall, EndpointFailed


class EndpointClient(Protocol):
    """Speak to one kind of endpoint."""

    def run(self, attempt: Attempt, inbox: Inbox) -> None:
        """Run an attempt once and put its output into the inbox."""
        ...

    def cancel(self, attempt_id: str) -> None:
        """Tell the endpoint to stop an attempt."""
        ...

    def watch(self, inbox: Inbox) -> None:
        """Put load reports into the inbox for as long as the endpoint gives any."""
        ...


class EndpointSink:
    """Run each attempt in a green thread of its own.

    Args:
        client: Speaks to the endpoint.
        inbox: Where output goes.
    """

    __slots__ = ("_client", "_inbox", "_running", "consumers")

    def __init__(self, client: EndpointClient, inbox: Inbox) -> None:
        self._client = client
        self._inbox = inbox
        self._running: dict[str, Any] = {}
        self.consumers: Consumers = {
            CallEndpoint: self._on_call,
            CancelCall: self._on_cancel,
        }

    def _on_call(self, msg: CallEndpoint) -> None:
        attempt = msg.attempt
        self._running[attempt.attempt_id] = eventlet.spawn(self._run, attempt)

    def _run(self, attempt: Attempt) -> None:
        try:
            self._client.run(attempt, self._inbox)
        except Exception as exc:
            self._inbox.put(EndpointFailed(attempt.attempt_id, True, str(exc)))
        finally:
            self._running.pop(attempt.attempt_id, None)

    def _on_cancel(self, msg: CancelCall) -> None:
        thread = self._running.pop(msg.attempt_id, None)
        if thread is not None:
            thread.kill()
            eventlet.spawn_n(self._client.cancel, msg.attempt_id)
