"""Track the requests that are not answered yet."""

from collections.abc import Iterator

from ..core import Clock
from ..errors import HawthornyardError
from .endpoints import Endpoints
from .messages import Attempt, Request


class InFlight:
    """Unanswered requests, by HTTP exchange and by current attempt.

    Args:
        endpoints: Known endpoints, which record the requests that they run.
        clock: Source of time.
    """

    __slots__ = ("_by_attempt", "_by_call", "_clock", "_endpoints")

    def __init__(self, endpoints: Endpoints, clock: Clock) -> None:
        self._by_call: dict[str, Request] = {}
        self._by_attempt: dict[str, Request] = {}
        self._endpoints = endpoints
        self._clock = clock

    def __len__(self) -> int:
        return len(self._by_call)

    def __iter__(self) -> Iterator[Request]:
        yield from list(self._by_call.values())

    def add(self, request: Request) -> None:
        """Track a request until it is removed."""
        self._by_call[request.call_id] = request

    def begin_attempt(
        self,
        request: Request,
        endpoint: str,
        *,
        mirror: str = "",
        is_resumed: bool = False,
    ) -> Attempt:
        """Start a new attempt of a request.

        Args:
            request: The request.
            endpoint: Name of the endpoint that runs it.
            mirror: Name of the endpoint that mirrors it, empty for none.
            is_resumed: Whether it resumes from a copy of an earlier attempt's run.

        Raises:
            HawthornyardError: If the request has an attempt that was not ended.
        """
        if request.attempt is not None:
            raise HawthornyardError(
                f"request {request.request_id} has attempt "
                f"{request.attempt.attempt_id}, which must end before the next one"
            )
        request.n_attempts += 1
        attempt = Attempt(
            f"{request.call_id}.{request.n_attempts}",
            endpoint,
            self._clock.now(),
            mirror=mirror,
            is_resumed=is_resumed,
        )
        request.attempt = attempt
        self._by_attempt[attempt.attempt_id] = request
        known_endpoint = self._endpoints.get(endpoint)
        if known_endpoint is not None:
            attempt.born = known_endpoint.entry.born
            known_endpoint.requests[attempt.attempt_id] = request
        mirror_endpoint = self._endpoints.get(mirror)
        if mirror_endpoint is not None:
            mirror_endpoint.mirrored[attempt.attempt_id] = request
        return attempt

    def end_attempt(self, request: Request) -> None:
        """Forget the current attempt, so that its further output is dropped."""
        attempt = request.attempt
        if attempt is None:
            return
        request.attempt = None
        request.migration = None
        self._by_attempt.pop(attempt.attempt_id, None)
        endpoint = self._endpoints.get(attempt.endpoint)
        if endpoint is not None:
            endpoint.requests.pop(attempt.attempt_id, None)
        mirror_endpoint = self._endpoints.get(attempt.mirror)
        if mirror_endpoint is not None:
            mirror_endpoint.mirrored.pop(attempt.attempt_id, None)

    def by_call(self, call_id: str) -> Request | None:
        """Return the request of an HTTP exchange, None if it is not tracked."""
        return self._by_call.get(call_id)

    def by_attempt(self, attempt_id: str) -> Request | None:
        """Return the request with this current attempt, None if there is none."""
        return self._by_attempt.get(attempt_id)

    def remove(self, request: Request) -> None:
        """Forget a request and its current attempt."""
        self.end_attempt(request)
        self._by_call.pop(request.call_id, None)
