"""Choose the waiting request that starts next."""

from collections.abc import Callable

from ...core import Clock
from ...policy import RecentSizes, UrgencyQueue, Waiting
from ..forecast import ServiceForecast
from ..messages import Request
from ..reservations import Reservations

# Share of its time until the latest start for its target after which a request may use
# the memory that others leave free, or have an endpoint kept for it: later, what runs
# there would not end in time.
PATIENCE_SHARE = 0.5

HasCapacity = Callable[[Request], bool]


class StartRules:
    """Rules by which a waiting request starts.

    Addresses a mix of sizes: small requests start before a large one that does not fit
    yet, so that no capacity stays free. Brief and large ones that have waited may use
    the memory that is left free for outputs that turn out long: brief ones end before
    it is needed, and large ones would starve without it.

    Args:
        forecast: Tells the durations of requests and the room of endpoints.
        reservations: Keeps an endpoint of each service for a large request.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_forecast", "_reservations", "_sizes")

    def __init__(
        self, forecast: ServiceForecast, reservations: Reservations, clock: Clock
    ) -> None:
        self._forecast = forecast
        self._reservations = reservations
        self._clock = clock
        self._sizes: dict[str, RecentSizes] = {}

    def note_arrival(self, request: Request) -> None:
        """Learn the size of a request, and forget its earlier attempt."""
        self._reservations.forget(request)
        self._sizes.setdefault(request.route.name, RecentSizes()).note(request.n_tokens)

    def renew_reservation(self, service: str) -> None:
        """Move a service's reservation to the endpoint that has room first now."""
        holder = self._reservations.holder(service)
        if holder is not None:
            self._reservations.reserve(holder)

    def next_ready(
        self, queue: UrgencyQueue[Request], has_capacity: HasCapacity
    ) -> Waiting[Request] | None:
        """Return the first request in order that can start, or None.

        Args:
            queue: The waiting requests.
            has_capacity: Tells whether some endpoint has capacity for a request.
        """
        # What is as large as a request of its service that can't start is not tried.
        too_large: dict[str, int] = {}
        no_room: dict[str, int] = {}
        for waiting in queue.in_order(self._clock.now()):
            lane, size = waiting.lane, waiting.size
            if size < too_large.get(lane, size + 1) or self._is_holder(waiting):
                if has_capacity(waiting.item):
                    return waiting
                too_large[lane] = min(size, too_large.get(lane, size))
            if size < no_room.get(lane, size + 1) and self._may_use_headroom(waiting):
                if self._grant(waiting.item):
                    return waiting
                no_room[lane] = size
            if self._needs_reservation(waiting):
                self._reservations.reserve(waiting.item)
        return None

    def _is_holder(self, waiting: Waiting[Request]) -> bool:
        return self._reservations.holder(waiting.lane) is waiting.item

    def _has_waited(self, waiting: Waiting[Request]) -> bool:
        allowed_s = PATIENCE_SHARE * (waiting.target_start - waiting.queued_at)
        return self._clock.now() >= waiting.queued_at + allowed_s

    def _is_large(self, waiting: Waiting[Request]) -> bool:
        return self._sizes[waiting.item.route.name].is_large(waiting.size)

    def _may_use_headroom(self, waiting: Waiting[Request]) -> bool:
        request = waiting.item
        if self._forecast.is_oversized(request):
            return True
        if not self._has_waited(waiting):
            return False
        is_brief = self._forecast.durations.whole_s(request) <= request.route.target_s
        return is_brief or self._is_large(waiting)

    def _needs_reservation(self, waiting: Waiting[Request]) -> bool:
        if self._reservations.holder(waiting.lane) is not None:
            return False
        return self._has_waited(waiting) and self._is_large(waiting)

    def _grant(self, request: Request) -> bool:
        endpoint = self._forecast.roomy_endpoint(request)
        if endpoint is not None:
            self._reservations.grant(request, endpoint)
        return endpoint is not None
