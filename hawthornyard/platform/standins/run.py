"""Hold the state of one run of a stand-in engine."""

from collections.abc import Iterator

import eventlet

from ...errors import EndpointError


class Run:
    """One stream that is being generated.

    Args:
        request_id: Id of the request, which also identifies the run.
        n_events: Number of events in the whole stream.
        first_event: Number of the first event of this run, above 1 if the run resumes
            another.
        step_s: Seconds between events.

    Attributes:
        is_copying: Whether a copy of the run is in progress.
        is_stopped: Whether the run was stopped for its final copy.
        n_made: Number of the newest event.
        request_id: Id of the request.
    """

    __slots__ = (
        "_n_events",
        "_step_s",
        "is_copying",
        "is_stopped",
        "n_made",
        "request_id",
    )

    def __init__(
        self,
        request_id: str,
        n_events: int,
        *,
        first_event: int = 1,
        step_s: float = 0.02,
    ) -> None:
        self.request_id = request_id
        self.n_made = first_event - 1
        self.is_copying = False
        self.is_stopped = False
        self._n_events = n_events
        self._step_s = step_s

    @property
    def has_events(self) -> bool:
        """Return whether there are events, and so something to copy."""
        return self.n_made > 0

    def events(self) -> Iterator[bytes]:
        """Yield the events as they are generated.

        Raises:
            EndpointError: If the run is stopped before its last event.
        """
        while self.n_made < self._n_events:
            eventlet.sleep(self._step_s)
            if self.is_stopped:
                raise EndpointError("the run was stopped for its final copy")
            self.n_made += 1
            yield format_event(self.request_id, self.n_made)


def format_event(request_id: str, number: int) -> bytes:
    """Return the bytes of one event, the same in every run of a request."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()
