"""Start attempts that resume a stream from a copy of its run."""

from ...core import Clock
from ..endpoints import Endpoint
from ..inflight import InFlight
from ..messages import CopySource, Dispatch, Request
from ..mirroring import Mirroring


class Resumption:
    """Factory of attempts that resume from the copy of a run.

    Args:
        inflight: Requests that are not answered yet.
        mirroring: Chooses where the new attempt is mirrored.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_inflight", "_mirroring")

    def __init__(
        self,
        inflight: InFlight,
        mirroring: Mirroring,
        clock: Clock,
    ) -> None:
        self._inflight = inflight
        self._mirroring = mirroring
        self._clock = clock

    def begin_attempt(
        self, request: Request, endpoint: Endpoint, address: str, handle: str
    ) -> Dispatch:
        """End the attempt, start one that resumes from a copy, return its dispatch.

        Args:
            request: The request.
            endpoint: Endpoint that resumes it.
            address: "address:port" of the engine that made the copy or mirrors the
                run.
            handle: Handle of the copy, the request id if it is a mirror's.
        """
        endpoint.allowance.note_send()
        # The copied run has begun, so the request must not be run anew.
        request.n_runs = max(1, request.n_runs)
        mirror = self._mirroring.choose(request, endpoint)
        self._inflight.end_attempt(request)
        attempt = self._inflight.begin_attempt(
            request,
            endpoint.name,
            mirror=mirror.name if mirror is not None else "",
            is_resumed=True,
        )
        return Dispatch(
            attempt.attempt_id,
            request.call,
            endpoint.entry.address,
            endpoint.name,
            born=endpoint.entry.born,
            team=request.team,
            priority=request.priority,
            timeout_s=max(0.0, request.deadline - self._clock.now()),
            is_stream=True,
            source=CopySource(address, handle, request.last_event),
            mirror_address=mirror.entry.address if mirror is not None else "",
        )
