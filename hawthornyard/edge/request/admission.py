"""Admit requests of load-aware services by the capacity that is forecast."""

from collections.abc import Callable, Iterator
from math import floor

from ...core import Clock, Decision, Message
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ...policy import (
    MAX_RETRY_AFTER_SHARE,
    ForecastError,
    ReturnTimes,
    UrgencyQueue,
    Waiting,
)
from ..eligibility import Eligibility
from ..forecast import ServiceForecast
from ..load_aware import LoadAwareServices
from ..messages import Dequeued, Request
from ..reservations import Reservations
from .start_rules import HasCapacity, StartRules

# Interval at which waiting requests are forecast anew: capacity that is lost must not
# hold up a caller for much longer than a load report takes.
RECHECK_INTERVAL_S = 0.25
# Longest time for which the placement may spare an endpoint that has capacity, as a
# share of the route's target latency, as for services without a forecast.
MAX_HELD_SHARE = 0.25
# Longest wait while a service has no endpoint: a replacement often appears soon.
NO_ENDPOINT_WAIT_S = 0.25
# Longest Retry-After while a service has no endpoint, as nothing tells when it has one.
MAX_NO_ENDPOINT_RETRY_S = 1.0
# Share of its time between target and deadline after which a late request is refused,
# if no late one of the service has started meanwhile: requests that can meet their
# targets go first and then take all capacity, as in lasting overload.
MAX_LATE_SHARE = 0.5


class Admission:
    """Requests that wait for capacity of load-aware services.

    Addresses demand over capacity. A request waits here, not in a full engine, as long
    as its first event, or whole plain answer, is forecast before its deadline; beyond
    that it is refused at once. So the capacity goes to requests that it can serve in
    time, and callers learn early when to come back.

    Args:
        services: Tells which services are load-aware.
        forecast: Forecasts the starts of waiting requests.
        eligibility: Tells which endpoints may get new work.
        reservations: Keeps an endpoint of each service for a large request.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_eligibility",
        "_errors",
        "_forecast",
        "_late_start_at",
        "_queue",
        "_recheck_at",
        "_reservations",
        "_returns",
        "_rules",
        "_services",
    )

    def __init__(
        self,
        services: LoadAwareServices,
        forecast: ServiceForecast,
        eligibility: Eligibility,
        reservations: Reservations,
        clock: Clock,
    ) -> None:
        self._services = services
        self._forecast = forecast
        self._eligibility = eligibility
        self._reservations = reservations
        self._clock = clock
        self._rules = StartRules(forecast, reservations, clock)
        self._queue: UrgencyQueue[Request] = UrgencyQueue()
        self._returns = ReturnTimes()
        # Newest start of a request that was late, by service.
        self._late_start_at: dict[str, float] = {}
        self._errors: dict[str, ForecastError] = {}
        self._recheck_at = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    def is_for(self, request: Request) -> bool:
        """Return whether a request is admitted here.

        Limits that endpoints name bound the rate and not the load, which no forecast
        tells; requests for such endpoints are queued as for other services.
        """
        if not self._services.is_load_aware(request.service):
            return False
        return not self._eligibility.is_limited(request.service)

    def add(self, request: Request, has_capacity: HasCapacity) -> Iterator[Message]:
        """Queue a request; start it, or refuse it if it can't be served in time."""
        now = self._clock.now()
        self._rules.note_arrival(request)
        turn_s = 0.0
        if not request.n_attempts:
            turn_s = self._returns.claim((request.team, request.route.name), now)
        duration_s = self._forecast.durations.whole_s(request)
        waiting = Waiting(
            request,
            request.team,
            lane=request.service,
            priority=request.priority,
            size=request.n_tokens,
            work=max(1, request.n_tokens) * duration_s,
            queued_at=now,
            target_start=self._forecast.target_start(request),
            latest_start=request.deadline - duration_s,
            turn_s=turn_s,
        )
        self._queue.push(waiting)
        yield from self.start_ready(has_capacity)
        if waiting in self._queue:
            yield from self._refuse_if_unservable(waiting)

    def start_ready(self, has_capacity: HasCapacity) -> Iterator[Message]:
        """Start the waiting requests, in order, for which there is capacity."""
        while True:
            waiting = self._rules.next_ready(self._queue, has_capacity)
            if waiting is None:
                return
            yield from self._start(waiting)

    def refuse_unservable(self) -> Iterator[Message]:
        """Refuse what can no longer be served in time; for each tick."""
        now = self._clock.now()
        if not len(self._queue) or now < self._recheck_at:
            return
        self._recheck_at = now + RECHECK_INTERVAL_S
        for service in sorted({waiting.lane for waiting in self._queue}):
            self._rules.renew_reservation(service)
            yield from self._refuse_unservable(service)

    def discard(self, predicate: Callable[[Request], bool]) -> list[Request]:
        """Remove and return the waiting requests for which `predicate` holds."""
        removed = [waiting for waiting in self._queue if predicate(waiting.item)]
        for waiting in removed:
            self._remove(waiting)
        return [waiting.item for waiting in removed]

    def note_end(self, request: Request) -> None:
        """Forget a request that has ended, and learn from it."""
        self.discard(lambda item: item is request)
        self._reservations.forget(request)
        if self._services.is_load_aware(request.service):
            self._forecast.durations.note_end(request)

    def _remove(self, waiting: Waiting[Request]) -> None:
        self._queue.discard(waiting)
        self._reservations.release(waiting.item)

    def _refuse_unservable(self, service: str) -> Iterator[Message]:
        order = self._order(service)
        if not self._forecast.has_endpoints(service):
            yield from self._refuse_without_endpoint(order)
            return
        starts_s = self._starts_s(order)
        reachable = [start_s for start_s in starts_s if start_s < float("inf")]
        # What can't start in time comes behind all that can.
        last_s = max(reachable, default=0.0)
        for waiting, start_s in zip(order, starts_s, strict=True):
            if waiting not in self._queue:
                continue
            if start_s == float("inf") or self._is_crowded_out(waiting):
                yield from self._refuse(waiting, last_s, len(reachable))
            elif self._is_held_back(waiting, start_s):
                yield from self._start(waiting)
            else:
                self._recheck_held(waiting, start_s)

    def _is_crowded_out(self, waiting: Waiting[Request]) -> bool:
        late_since = max(waiting.target_start, waiting.queued_at)
        allowed_s = MAX_LATE_SHARE * (waiting.item.deadline - late_since)
        last_start = self._late_start_at.get(waiting.lane, 0.0)
        return self._clock.now() > max(late_since, last_start) + allowed_s

    def _refuse_if_unservable(self, waiting: Waiting[Request]) -> Iterator[Message]:
        if not self._forecast.has_endpoints(waiting.lane):
            return
        order = self._order(waiting.lane)
        n_ahead = order.index(waiting)
        start_s = self._starts_s(order[: n_ahead + 1], open_ended=waiting.item)[-1]
        waiting.forecast_start = self._clock.now() + start_s
        self._recheck_held(waiting, start_s)
        if start_s > self._forecast.latest_s(waiting.item):
            yield from self._refuse(waiting, start_s, n_ahead)

    def _start(self, waiting: Waiting[Request]) -> Iterator[Message]:
        request = waiting.item
        self._queue.take(waiting)
        self._reservations.release(request)
        now = self._clock.now()
        if now > waiting.target_start:
            self._late_start_at[waiting.lane] = now
        if now > waiting.queued_at:
            error = self._errors.setdefault(waiting.lane, ForecastError())
            error_s = error.observe(waiting.forecast_start, now)
            yield Decision(
                "admitted",
                request_id=request.request_id,
                reason="waited",
                waited_s=round(now - waiting.queued_at, 3),
                error_s=round(error_s, 3),
                median_error_s=round(error.median_s, 3),
                is_late=now > waiting.target_start,
                team=request.team,
                route=request.route.name,
                service=request.service,
            )
        yield Dequeued(request)

    def _refuse(
        self, waiting: Waiting[Request], forecast_s: float, n_ahead: int
    ) -> Iterator[Message]:
        request = waiting.item
        now = self._clock.now()
        self._remove(waiting)
        left_s = max(0.0, request.deadline - now)
        detail = f"{request.service} has no capacity before the deadline"
        reason = "no capacity is forecast before the deadline"
        if now < self._eligibility.pauses_end_at(request.service):
            detail = f"endpoints of {request.service} asked for a pause"
            reason = "the endpoints asked for a pause"
        retry_after_s = self._returns.promise(
            waiting.lane,
            (request.team, request.route.name),
            now,
            forecast_s=forecast_s,
            spacing_s=forecast_s / (n_ahead + 1),
            left_s=left_s,
            turn_s=waiting.turn_s,
        )
        yield Decision(
            "admission_refused",
            request_id=request.request_id,
            reason=reason,
            forecast_s=round(forecast_s, 3),
            left_s=round(left_s, 3),
            n_ahead=n_ahead,
            retry_after_s=retry_after_s,
            team=request.team,
            route=request.route.name,
            service=request.service,
        )
        yield ReplyFailed(
            request.call_id,
            ErrorKind.OVERLOADED,
            detail,
            retry_after_s=retry_after_s,
        )

    def _refuse_without_endpoint(
        self, order: list[Waiting[Request]]
    ) -> Iterator[Message]:
        now = self._clock.now()
        for waiting in order:
            if now - waiting.queued_at < NO_ENDPOINT_WAIT_S:
                continue
            self._remove(waiting)
            longest_s = MAX_RETRY_AFTER_SHARE * max(0.0, waiting.item.deadline - now)
            yield ReplyFailed(
                waiting.item.call_id,
                ErrorKind.NO_ENDPOINT,
                retry_after_s=min(MAX_NO_ENDPOINT_RETRY_S, floor(longest_s * 10) / 10),
            )

    def _order(self, service: str) -> list[Waiting[Request]]:
        now = self._clock.now()
        return [item for item in self._queue.in_order(now) if item.lane == service]

    def _starts_s(
        self, order: list[Waiting[Request]], open_ended: Request | None = None
    ) -> list[float]:
        requests = [waiting.item for waiting in order]
        return self._forecast.starts(requests, open_ended=open_ended)

    def _recheck_held(self, waiting: Waiting[Request], start_s: float) -> None:
        held_until = self._held_until(waiting)
        # What can start now is held back by the placement, not by the load.
        if not start_s and held_until > self._clock.now():
            self._recheck_at = min(self._recheck_at, held_until)

    def _held_until(self, waiting: Waiting[Request]) -> float:
        held_s = MAX_HELD_SHARE * waiting.item.route.target_s
        return min(waiting.target_start, waiting.queued_at + held_s)

    def _is_held_back(self, waiting: Waiting[Request], start_s: float) -> bool:
        # The placement may spare an endpoint that has a slot and memory, to serve the
        # request better elsewhere a moment later.
        if start_s > 0 or self._clock.now() < self._held_until(waiting):
            return False
        return bool(self._eligibility.for_request(waiting.item))
