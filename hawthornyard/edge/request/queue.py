"""Queue requests until an endpoint has capacity."""

from collections.abc import Callable, Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...errors import ErrorKind
from ...gateway.messages import CallerGone, ReplyFailed
from ...policy import FairQueue, RecentRate
from ..eligibility import Eligibility
from ..grace import GracePeriod
from ..messages import (
    Closed,
    Dequeued,
    EndpointsRead,
    Matched,
    PartAccused,
    Request,
)
from ..placement import Placement
from ..prefill import PrefillPolicy
from .admission import Admission
from .stop import refusal

# Longest wait for capacity, as a share of the route's target latency; beyond it a
# request waits in an endpoint's own queue, as the endpoint knows its load exactly.
MAX_WAIT_SHARE = 0.25
# Longest wait while no endpoint is eligible: a replacement often appears soon.
NO_ENDPOINT_WAIT_S = 0.25
# Longest wait for the limits that endpoints named, as a share of the route's target
# latency; the rest is for the answer.
MAX_LIMIT_WAIT_SHARE = 0.5
# Latest end of the pauses for which a request waits, as a share of the time between
# its arrival in the queue and its deadline. A caller that waits is served no later than
# one that is refused and comes back; the rest of the time is for the answer.
MAX_PAUSE_WAIT_SHARE = 0.5
# Window over which the throughput of a service is measured.
THROUGHPUT_WINDOW_S = 2.0
# Retry-After as a share of the request's time limit; callers wait for at most a
# third of that limit before they retry.
RETRY_AFTER_SHARE = 0.2
MAX_RETRY_AFTER_S = 1.0
MAX_QUEUE_LENGTH = 1000


class WaitForCapacity:
    """Filter that queues requests and releases them in fair order.

    Args:
        eligibility: Tells which endpoints may get new work.
        placement: Tells which endpoints have capacity.
        prefill: Tells where a prompt may begin.
        grace: Tells which requests can end before a stopping process is killed.
        clock: Source of time.
        admission: Holds the waiting requests of load-aware services, None if there are
            no such services.
    """

    __slots__ = (
        "_admission",
        "_clock",
        "_eligibility",
        "_grace",
        "_placement",
        "_prefill",
        "_queue",
        "_queued_at",
        "_throughput",
        "handlers",
    )

    def __init__(
        self,
        eligibility: Eligibility,
        placement: Placement,
        prefill: PrefillPolicy,
        grace: GracePeriod,
        clock: Clock,
        admission: Admission | None = None,
    ) -> None:
        self._admission = admission
        self._eligibility = eligibility
        self._placement = placement
        self._prefill = prefill
        self._grace = grace
        self._clock = clock
        self._queue: FairQueue[Request] = FairQueue(clock)
        self._queued_at: dict[str, float] = {}
        self._throughput: dict[str, RecentRate] = {}
        self.handlers: Handlers = {
            Matched: self._on_matched,
            Closed: self._on_closed,
            EndpointsRead: self._on_endpoints_read,
            CallerGone: self._on_caller_gone,
            PartAccused: self._on_part_accused,
            Tick: self._on_tick,
        }

    def _on_matched(self, msg: Matched) -> Iterator[Message]:
        request = msg.request
        if self._n_waiting() >= MAX_QUEUE_LENGTH:
            yield self._refuse(request, ErrorKind.OVERLOADED, "the queue is full")
            return
        if self._admission is not None and self._admission.is_for(request):
            yield from self._admission.add(request, self._has_capacity)
            return
        self._queued_at[request.call_id] = self._clock.now()
        self._queue.push(
            request,
            request.team,
            # The queue serves larger numbers first; in routes and teams, 0 goes first.
            priority=-request.priority,
            cost=float(request.n_tokens or 1),
            lane=self._prefill.lane(request),
        )
        yield from self._dequeue()
        if request.call_id in self._queued_at:
            yield from self._note_held(request)
            yield from self._refuse_if_hopeless(request)

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        if self._admission is not None:
            self._admission.note_end(msg.request)
        yield msg
        yield from self._dequeue()

    def _on_endpoints_read(self, msg: EndpointsRead) -> Iterator[Message]:
        yield msg
        yield from self._dequeue()

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        for request in self._discard(lambda item: item.call_id == msg.call_id):
            yield self._refuse(request, ErrorKind.CANCELLED, "the caller disconnected")
        yield msg

    def _on_part_accused(self, msg: PartAccused) -> Iterator[Message]:
        detail = f"part {msg.part} of the prompt ends endpoints"
        for request in self._discard(lambda item: msg.part in item.shared_parts):
            yield self._refuse(request, ErrorKind.PROMPT_QUARANTINED, detail)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for request in self._discard(lambda item: not self._grace.has_time_for(item)):
            self._queued_at.pop(request.call_id, None)
            yield refusal(request, self._grace)
        yield from self._dequeue()
        if self._admission is not None:
            yield from self._admission.refuse_unservable()
        now = self._clock.now()
        for request in self._queue.discard(lambda item: self._is_wait_over(item, now)):
            if self._is_paused(request.service):
                yield self._refuse_for_pause(request)
            elif self._eligibility.is_limited(request.service):
                # Endpoints without a limit would be overloaded by what is over it.
                yield self._refuse_for_limit(request, self._limit_wait_s(request))
            elif self._eligibility.for_request(request):
                self._queued_at.pop(request.call_id, None)
                yield Dequeued(request)
            else:
                yield self._refuse(request, ErrorKind.NO_ENDPOINT)
        yield msg

    def _n_waiting(self) -> int:
        n_admission = len(self._admission) if self._admission is not None else 0
        return len(self._queue) + n_admission

    def _discard(self, predicate: Callable[[Request], bool]) -> list[Request]:
        removed = self._queue.discard(predicate)
        if self._admission is not None:
            removed += self._admission.discard(predicate)
        return removed

    def _dequeue(self) -> Iterator[Message]:
        if self._admission is not None:
            yield from self._admission.start_ready(self._has_capacity)
        while True:
            request = self._queue.pop(self._has_capacity)
            if request is None:
                return
            self._queued_at.pop(request.call_id, None)
            self._service_throughput(request.service).note()
            yield Dequeued(request)

    def _service_throughput(self, service: str) -> RecentRate:
        rate = self._throughput.get(service)
        if rate is None:
            rate = RecentRate(self._clock, THROUGHPUT_WINDOW_S)
            self._throughput[service] = rate
        return rate

    def _has_capacity(self, request: Request) -> bool:
        return any(
            self._placement.has_capacity(request, endpoint)
            and self._prefill.may_begin(request, endpoint)
            for endpoint in self._eligibility.for_request(request)
        )

    def _note_held(self, request: Request) -> Iterator[Message]:
        eligible = self._eligibility.for_request(request)
        n_in_turn = sum(self._prefill.may_begin(request, end) for end in eligible)
        if n_in_turn < len(eligible):
            yield Decision(
                "prefill_turn",
                request_id=request.request_id,
                reason="held",
                n_candidates=len(eligible),
                n_in_turn=n_in_turn,
                route=request.route.name,
                service=request.service,
            )

    def _is_wait_over(self, request: Request, now: float) -> bool:
        if self._is_paused(request.service):
            return self._is_outlasted(request)
        # What has waited for the end of a pause waits for capacity from then on: all
        # at once would be too much for an endpoint that had none.
        pauses_end_at = self._eligibility.pauses_end_at(request.service)
        waited_s = now - max(self._queued_at[request.call_id], pauses_end_at)
        if self._eligibility.is_limited(request.service):
            return waited_s >= MAX_LIMIT_WAIT_SHARE * request.route.target_s
        allowed_s = MAX_WAIT_SHARE * request.route.target_s
        if not self._eligibility.for_request(request):
            allowed_s = min(allowed_s, NO_ENDPOINT_WAIT_S)
        return waited_s >= allowed_s

    def _is_paused(self, service: str) -> bool:
        return self._clock.now() < self._eligibility.pauses_end_at(service)

    def _is_outlasted(self, request: Request) -> bool:
        # Whether all endpoints pause for longer than the request may wait.
        queued_at = self._queued_at[request.call_id]
        allowed_s = MAX_PAUSE_WAIT_SHARE * (request.deadline - queued_at)
        return self._eligibility.pauses_end_at(request.service) > queued_at + allowed_s

    def _refuse_if_hopeless(self, request: Request) -> Iterator[Message]:
        if self._is_paused(request.service):
            # More than the endpoints run at once would wait beyond the pause.
            n_slots = self._eligibility.n_slots(request.service)
            if self._is_outlasted(request) or self._n_ahead(request) >= n_slots:
                self._queue.discard(lambda item: item is request)
                yield self._refuse_for_pause(request)
            return
        wait_s = self._limit_wait_s(request)
        if wait_s is None or wait_s <= MAX_LIMIT_WAIT_SHARE * request.route.target_s:
            return
        self._queue.discard(lambda item: item is request)
        yield self._refuse_for_limit(request, wait_s)

    def _limit_wait_s(self, request: Request) -> float | None:
        # None if nothing tells how long the limits will hold up the request.
        if not self._eligibility.is_limited(request.service):
            return None
        n_ahead = self._n_ahead(request)
        wait_s = self._eligibility.limit_wait_s(request.service, n_ahead)
        if wait_s is not None:
            return wait_s
        # The other endpoints are full, and free places at the rate seen so far.
        per_s = self._service_throughput(request.service).per_s
        return (n_ahead + 1) / per_s if per_s else None

    def _n_ahead(self, request: Request) -> int:
        return sum(
            item.service == request.service
            and item is not request
            and item.priority <= request.priority
            for item in self._queue
        )

    def _refuse_for_pause(self, request: Request) -> ReplyFailed:
        detail = f"endpoints of {request.service} asked for a pause"
        pauses_end_at = self._eligibility.pauses_end_at(request.service)
        wait_s = pauses_end_at - self._clock.now()
        return self._refuse(request, ErrorKind.OVERLOADED, detail, wait_s)

    def _refuse_for_limit(self, request: Request, wait_s: float | None) -> ReplyFailed:
        detail = f"endpoints of {request.service} are at the limit that they named"
        return self._refuse(request, ErrorKind.OVERLOADED, detail, wait_s)

    def _refuse(
        self,
        request: Request,
        kind: ErrorKind,
        detail: str = "",
        retry_after_s: float | None = None,
    ) -> ReplyFailed:
        self._queued_at.pop(request.call_id, None)
        if retry_after_s is None:
            allowed_s = request.deadline - request.arrived_at
            retry_after_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_SHARE * allowed_s)
        return ReplyFailed(
            request.call_id, kind, detail, retry_after_s=round(retry_after_s, 2)
        )
