"""Queue requests until an endpoint has capacity."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, Tick
from ...errors import ErrorKind
from ...frames import Generation, Heartbeat
from ...policy import (
    BackoffPredictor,
    FairQueue,
    LengthPredictor,
    LengthSource,
    estimate_prompt_tokens,
    length_quantile,
)
from ..fleet import Fleet
from ..messages import Admitted, CallerGone, Closed, Dequeued, ReplyFailed, Request

MAX_QUEUE_DEPTH = 2000
NO_ENDPOINT_GRACE_S = 2.0
# Fair-queue cost of a plain service call; the cost of a generation is its tokens.
SERVICE_CALL_COST_TOKENS = 1.0
MEDIAN = 0.5


class WaitForCapacity:
    """Dequeue requests in fair order.

    Refuses a request when the queue is full, when its deadline passes, or when it
    has waited `NO_ENDPOINT_GRACE_S` and no endpoint is eligible for it.

    Args:
        fleet: State of the endpoints.
        clock: Monotonic clock.
        predictor: Predicts output lengths, which set the cost charged to a team; None
            for a new `BackoffPredictor`.
        max_queue_depth: Maximum number of queued requests.
    """

    __slots__ = (
        "_clock",
        "_costs",
        "_fleet",
        "_max_queue_depth",
        "_predictor",
        "_queue",
        "_queued_at",
        "handlers",
    )

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        *,
        predictor: LengthPredictor | None = None,
        max_queue_depth: int = MAX_QUEUE_DEPTH,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._predictor = predictor or BackoffPredictor()
        self._max_queue_depth = max_queue_depth
        self._queue: FairQueue[Request] = FairQueue(clock)
        self._queued_at: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        self.handlers: Handlers = {
            Admitted: self._on_admitted,
            Heartbeat: self._pass_and_dequeue,
            Closed: self._on_closed,
            Tick: self._on_tick,
            CallerGone: self._on_caller_gone,
        }

    def _on_admitted(self, msg: Admitted) -> Iterator[Message]:
        request = msg.request
        if len(self._queue) >= self._max_queue_depth:
            yield ReplyFailed(msg.call_id, ErrorKind.OVERLOADED, "the queue is full")
            return
        self._queued_at[request.call_id] = self._clock.now()
        cost = self._expected_cost(request)
        # Retries are not charged again: the first attempt paid for the request.
        is_first_attempt = request.call_id not in self._costs
        self._costs[request.call_id] = cost
        self._queue.push(
            request,
            request.team.name,
            weight=request.team.weight,
            priority=request.service.priority,
            cost=cost if is_first_attempt else 0.0,
            lane=_lane(request),
        )
        yield from self._dequeue()

    def _pass_and_dequeue(self, msg: Message) -> Iterator[Message]:
        yield msg
        yield from self._dequeue()

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        request = msg.request
        source = _length_source(request)
        if source is not None and msg.kind is None:
            self._predictor.observe(source, request.n_delivered)
        expected = self._costs.pop(request.call_id, None)
        if expected is not None and source is not None:
            actual = _prompt_cost(request) + request.n_delivered
            self._queue.charge(request.team.name, actual - expected)
        yield from self._pass_and_dequeue(msg)

    def _expected_cost(self, request: Request) -> float:
        source = _length_source(request)
        if source is None:
            return SERVICE_CALL_COST_TOKENS
        n_output = length_quantile(self._predictor, source, 0, MEDIAN)
        return _prompt_cost(request) + n_output

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        now = self._clock.now()
        for request in self._queue.discard(lambda item: now >= item.deadline):
            yield self._refuse(request, ErrorKind.DEADLINE_EXCEEDED)
        for request in self._queue.discard(
            lambda item: self._has_no_endpoint(item, now)
        ):
            yield self._refuse(request, ErrorKind.NO_ENDPOINT)
        yield from self._dequeue()
        yield msg

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        gone = self._queue.discard(lambda request: request.call_id == msg.call_id)
        for request in gone:
            yield self._refuse(request, ErrorKind.CANCELLED)
        yield msg

    def _dequeue(self) -> Iterator[Message]:
        while True:
            request = self._queue.pop(self._fleet.has_capacity)
            if request is None:
                return
            self._queued_at.pop(request.call_id, None)
            yield Dequeued(request)

    def _refuse(self, request: Request, kind: ErrorKind) -> ReplyFailed:
        self._queued_at.pop(request.call_id, None)
        return ReplyFailed(request.call_id, kind)

    def _has_no_endpoint(self, request: Request, now: float) -> bool:
        waited = now - self._queued_at[request.call_id]
        return waited > NO_ENDPOINT_GRACE_S and not self._fleet.has_endpoint(request)


def _length_source(request: Request) -> LengthSource | None:
    work = request.work
    if not isinstance(work, Generation):
        return None
    return LengthSource(
        request.request_id,
        request.service.name,
        request.team.name,
        work.model,
        work.max_tokens,
    )


def _prompt_cost(request: Request) -> float:
    work = request.work
    if not isinstance(work, Generation):
        return 0.0
    return float(estimate_prompt_tokens(work.prompt))


def _lane(request: Request) -> str:
    # Requests in a lane have the same candidate endpoints.
    return "/".join([request.service.name, request.model, *sorted(request.excluded)])
