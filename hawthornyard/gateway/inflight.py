"""The requests that the gateway has in flight."""

from collections.abc import Iterator

from ..errors import HawthornyardError
from .messages import Request


class InFlight:
    """Index of requests without a final reply, by call id and by current attempt."""

    __slots__ = ("_by_attempt", "_by_call")

    def __init__(self) -> None:
        self._by_call: dict[str, Request] = {}
        self._by_attempt: dict[str, Request] = {}

    def __len__(self) -> int:
        return len(self._by_call)

    def __iter__(self) -> Iterator[Request]:
        yield from list(self._by_call.values())

    def add(self, request: Request) -> None:
        """Add a request, which stays until it is closed."""
        self._by_call[request.call_id] = request

    def begin_attempt(self, request: Request, attempt_id: str) -> None:
        """Set the current attempt of a request.

        Raises:
            HawthornyardError: If the request has an attempt that was not ended.
        """
        if request.attempt_id:
            raise HawthornyardError(
                f"request {request.request_id} has attempt {request.attempt_id}, "
                "which must end before the next one"
            )
        self.end_attempt(request)
        request.attempt_id = attempt_id
        self._by_attempt[attempt_id] = request

    def end_attempt(self, request: Request) -> None:
        """Clear the current attempt, so that its later frames are discarded."""
        self._forget_attempt(request)
        request.attempt_id = ""
        request.accepted = False
        request.disconnected_at = None

    def by_call(self, call_id: str) -> Request | None:
        """Return the request of an HTTP exchange, None if it is closed."""
        return self._by_call.get(call_id)

    def by_attempt(self, attempt_id: str) -> Request | None:
        """Return the request with this current attempt, None if there is none."""
        return self._by_attempt.get(attempt_id)

    def remove(self, request: Request) -> None:
        """Remove a request and its current attempt."""
        self._by_call.pop(request.call_id, None)
        self._forget_attempt(request)

    def _forget_attempt(self, request: Request) -> None:
        # A caller that resumed may read the attempt in another HTTP exchange.
        if self._by_attempt.get(request.attempt_id) is request:
            del self._by_attempt[request.attempt_id]
