"""Send the attempt that goes on from a copy of an earlier one."""

from ...core import Clock
from ..eligible import Eligibility
from ..endpoints import Endpoint
from ..inflight import InFlight
from ..messages import CopySource, Dispatch, Request
from ..mirroring import Mirroring


class Resumption:
    """Begin attempts that go on from copies.

    Args:
        inflight: Requests that are not answered yet.
        eligibility: Told what cold endpoints get.
        mirroring: Chooses where the new attempt is mirrored.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_eligibility", "_inflight", "_mirroring")

    def __init__(
        self,
        inflight: InFlight,
        eligibility: Eligibility,
        mirroring: Mirroring,
        clock: Clock,
    ) -> None:
        self._inflight = inflight
        self._eligibility = eligibility
        self._mirroring = mirroring
        self._clock = clock

    def begin(
        self, request: Request, endpoint: Endpoint, address: str, handle: str
    ) -> Dispatch:
        """Return the dispatch of an attempt that goes on from a copy.

        Args:
            request: The request.
            endpoint: Where it goes on.
            address: "address:port" that the copy is known by.
            handle: Name of the copy.
        """
        self._eligibility.note_send(endpoint)
        request.migration = None
        mirror = self._mirroring.choose(request, endpoint)
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
            team=request.team,
            priority=request.priority,
            timeout_s=max(0.0, request.deadline - self._clock.now()),
            is_stream=True,
            source=CopySource(address, handle, request.last_event),
            mirror_address=mirror.entry.address if mirror is not None else "",
        )
