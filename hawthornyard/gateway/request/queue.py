"""Hold requests until an endpoint has room."""

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
from ..messages import CallerGone, Closed, Permitted, Released, ReplyFailed, Request

MAX_WAITING = 2000
GRACE_WITHOUT_ENDPOINT_S = 2.0
CALL_TOKENS = 1.0
MEDIAN = 0.5


class WaitForRoom:
    """Release requests in fair order, and refuse those that wait in vain.

    Args:
        fleet: What is known of the endpoints.
        clock: Source of time.
        predictor: Predicts output lengths, for the work that a team is charged.
        max_waiting: Requests that may wait at once.
    """

    __slots__ = (
        "_clock",
        "_costs",
        "_fleet",
        "_max_waiting",
        "_predictor",
        "_queue",
        "_since",
        "handlers",
    )

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        *,
        predictor: LengthPredictor | None = None,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._predictor = predictor or BackoffPredictor()
        self._max_waiting = max_waiting
        self._queue: FairQueue[Request] = FairQueue(clock)
        self._since: dict[str, float] = {}
        self._costs: dict[str, float] = {}
        self.handlers: Handlers = {
            Permitted: self._on_permitted,
            Heartbeat: self._on_news,
            Closed: self._on_closed,
            Tick: self._on_tick,
            CallerGone: self._on_caller_gone,
        }

    def _on_permitted(self, msg: Permitted) -> Iterator[Message]:
        request = msg.request
        if len(self._queue) >= self._max_waiting:
            yield ReplyFailed(msg.call_id, ErrorKind.OVERLOADED, "the queue is full")
            return
        self._since[request.call_id] = self._clock.now()
        cost = self._expected_cost(request)
        # A retry was charged for by its first attempt.
        first = request.call_id not in self._costs
        self._costs[request.call_id] = cost
        self._queue.push(
            request,
            request.team.name,
            weight=request.team.weight,
            priority=request.service.priority,
            cost=cost if first else 0.0,
            lane=_lane(request),
        )
        yield from self._release()

    def _on_news(self, msg: Message) -> Iterator[Message]:
        yield msg
        yield from self._release()

    def _on_closed(self, msg: Closed) -> Iterator[Message]:
        request = msg.request
        source = _source(request)
        if source is not None and msg.kind is None:
            self._predictor.observe(source, request.n_delivered)
        expected = self._costs.pop(request.call_id, None)
        if expected is not None and source is not None:
            actual = _prompt_cost(request) + request.n_delivered
            self._queue.charge(request.team.name, actual - expected)
        yield from self._on_news(msg)

    def _expected_cost(self, request: Request) -> float:
        source = _source(request)
        if source is None:
            return CALL_TOKENS
        n_output = length_quantile(self._predictor, source, 0, MEDIAN)
        return _prompt_cost(request) + n_output

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for request in self._queue.discard(self._is_late):
            yield self._refuse(request, ErrorKind.DEADLINE_EXCEEDED)
        for request in self._queue.discard(self._is_hopeless):
            yield self._refuse(request, ErrorKind.NO_ENDPOINT)
        yield from self._release()
        yield msg

    def _on_caller_gone(self, msg: CallerGone) -> Iterator[Message]:
        gone = self._queue.discard(lambda request: request.call_id == msg.call_id)
        for request in gone:
            yield self._refuse(request, ErrorKind.CANCELLED)
        yield msg

    def _release(self) -> Iterator[Message]:
        while True:
            request = self._queue.pop(self._fleet.has_room)
            if request is None:
                return
            self._since.pop(request.call_id, None)
            yield Released(request)

    def _refuse(self, request: Request, kind: ErrorKind) -> ReplyFailed:
        self._since.pop(request.call_id, None)
        return ReplyFailed(request.call_id, kind)

    def _is_late(self, request: Request) -> bool:
        return self._clock.now() >= request.deadline

    def _is_hopeless(self, request: Request) -> bool:
        waited = self._clock.now() - self._since[request.call_id]
        return waited > GRACE_WITHOUT_ENDPOINT_S and not self._fleet.has_any(request)


def _source(request: Request) -> LengthSource | None:
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
    return "/".join([request.service.name, request.model, *sorted(request.excluded)])
