"""Admission control in front of the endpoint."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...errors import ErrorKind
from ...frames import Refused
from ...policy import (
    ConcurrencyLimit,
    ExpectedMemory,
    FairQueue,
    LengthPredictor,
    MemoryLimit,
    Occupant,
    SlowStart,
)
from ..attempts import Attempts
from ..messages import (
    Admitted,
    Attempt,
    ConfigChanged,
    EndpointLoadReport,
    Finished,
    Permitted,
    Withdrawn,
)
from ..state import SidecarState
from .external_load import ExternalLoad
from .inter_token_latency import InterTokenLatency
from .size import expected_tokens, length_source, occupant

MAX_QUEUED_ATTEMPTS = 32
MAX_WAIT_FRACTION = 0.5
QUEUED_ORPHAN_GRACE_S = 1.0


class Admit:
    """Filter that queues attempts until the endpoint has capacity for them.

    An attempt is admitted when the concurrency limit and the expected memory
    allow it. An attempt that waits too long is refused, so that its gateway can
    try another endpoint while time is left.

    Args:
        state: State of the sidecar.
        attempts: Registry of attempts.
        clock: Monotonic clock.
        predictor: Predictor of output lengths.
        memory: Limit on the expected memory, derived from `predictor` by default.
        max_wait_fraction: Fraction of the time to its deadline that an attempt may
            wait before it is refused.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_expected_tokens",
        "_external",
        "_inter_token_latency",
        "_last_n_preempted",
        "_last_report_at",
        "_limit",
        "_max_wait_fraction",
        "_memory",
        "_occupants",
        "_predictor",
        "_queue",
        "_queued_at",
        "_running",
        "_state",
        "_was_accepting",
        "handlers",
    )

    def __init__(
        self,
        state: SidecarState,
        attempts: Attempts,
        clock: Clock,
        predictor: LengthPredictor,
        *,
        memory: MemoryLimit | None = None,
        max_wait_fraction: float = MAX_WAIT_FRACTION,
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._clock = clock
        self._predictor = predictor
        self._memory = memory or ExpectedMemory(predictor)
        self._max_wait_fraction = max_wait_fraction
        self._limit: ConcurrencyLimit = SlowStart(1, 1)
        self._inter_token_latency = InterTokenLatency()
        self._external = ExternalLoad()
        self._queue: FairQueue[Attempt] = FairQueue(clock)
        self._queued_at: dict[str, float] = {}
        self._expected_tokens: dict[str, float] = {}
        self._occupants: dict[str, Occupant] = {}
        self._running: dict[str, Attempt] = {}
        self._last_n_preempted = 0
        self._was_accepting = False
        self._last_report_at = clock.now()
        self.handlers: Handlers = {
            Permitted: self._on_permitted,
            Finished: self._on_finished,
            EndpointLoadReport: self._on_endpoint_load_report,
            ConfigChanged: self._on_config_changed,
            Tick: self._on_tick,
            Withdrawn: self._on_withdrawn,
        }

    def _on_permitted(self, msg: Permitted) -> Iterator[Message]:
        attempt = msg.attempt
        if len(self._queue) >= MAX_QUEUED_ATTEMPTS:
            yield from self._refuse(attempt, ErrorKind.OVERLOADED, "queue is full")
            return
        service = self._state.catalog.service(attempt.service)
        priority = service.priority if service else 0
        cost = expected_tokens(self._predictor, attempt)
        self._queue.push(attempt, attempt.team, priority=priority, cost=cost)
        self._queued_at[attempt.attempt_id] = self._clock.now()
        self._expected_tokens[attempt.attempt_id] = cost
        yield from self._admit()

    def _on_withdrawn(self, msg: Withdrawn) -> Iterator[Message]:
        self._queue.discard(lambda item: item is msg.attempt)
        self._forget_queued(msg.attempt)
        yield from ()

    def _on_finished(self, msg: Finished) -> Iterator[Message]:
        attempt = msg.attempt
        expected = self._expected_tokens.pop(attempt.attempt_id, 0.0)
        self._occupants.pop(attempt.attempt_id, None)
        if self._running.pop(attempt.attempt_id, None) is not None:
            self._state.n_running = len(self._running)
            self._queue.charge(attempt.team, len(attempt.texts) - expected)
            if msg.kind is None:
                yield from self._observe(attempt)
        yield from self._admit()
        yield msg

    def _observe(self, attempt: Attempt) -> Iterator[Message]:
        source = length_source(attempt)
        if source is not None:
            self._predictor.observe(source, len(attempt.texts))
        elif attempt.started_at is not None:
            latency_s = attempt.ended_at - attempt.started_at
            yield from self._adapt_limit(latency_s, self._state.n_running + 1)

    def _adapt_limit(self, latency_s: float, n_running: int) -> Iterator[Message]:
        before = self._limit.limit
        is_cold = self._limit.on_sample(latency_s, n_running)
        self._state.limit = self._limit.limit
        if before == self._limit.limit:
            return
        yield Decision(
            "limit",
            reason="suspected cold" if is_cold else "latency within bounds",
            before=before,
            after=self._limit.limit,
            latency_s=round(latency_s, 4),
        )

    def _on_endpoint_load_report(self, msg: EndpointLoadReport) -> Iterator[Message]:
        now = self._clock.now()
        self._external.record_report(msg.n_running + msg.n_waiting)
        n_preempted = max(0, msg.n_preempted - self._last_n_preempted)
        self._memory.on_report(n_preempted, now - self._last_report_at)
        self._last_n_preempted = msg.n_preempted
        self._last_report_at = now
        yield from self._admit()

    def _on_config_changed(self, msg: ConfigChanged) -> Iterator[Message]:
        record = self._state.record
        if record is not None and self._state.limit == 0:
            self._limit = SlowStart(record.initial_limit, record.max_limit)
            self._state.limit = self._limit.limit
        if self._state.is_accepting and not self._was_accepting:
            # An endpoint that returns to service may have been restarted.
            self._limit.reset()
            self._state.limit = self._limit.limit
        self._was_accepting = self._state.is_accepting
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        now = self._clock.now()
        for attempt in self._queue.discard(lambda item: _is_orphan(item, now)):
            yield from self._refuse(attempt, ErrorKind.CANCELLED, "no gateway")
        for attempt in self._queue.discard(lambda item: now >= item.deadline):
            yield from self._refuse(attempt, ErrorKind.DEADLINE_EXCEEDED, "")
        for attempt in self._queue.discard(
            lambda item: self._has_waited_too_long(item, now)
        ):
            yield from self._refuse(attempt, ErrorKind.OVERLOADED, "waited too long")
        latency_s = self._inter_token_latency.sample(self._running.values(), msg.now)
        if latency_s is not None:
            yield from self._adapt_limit(latency_s, self._state.n_running)
        yield from self._admit()
        yield msg

    def _has_waited_too_long(self, attempt: Attempt, now: float) -> bool:
        queued_at = self._queued_at[attempt.attempt_id]
        allowed_s = self._max_wait_fraction * (attempt.deadline - queued_at)
        return now - queued_at > allowed_s

    def _admit(self) -> Iterator[Message]:
        self._update_memory()
        while self._state.n_running + self._external.n_running < self._state.limit:
            attempt = self._queue.pop(self._fits)
            if attempt is None:
                break
            yield from self._start(attempt)
        self._state.n_waiting = len(self._queue)
        self._state.load = self._memory.load

    def _update_memory(self) -> None:
        record = self._state.record
        memory_tokens = record.memory_tokens if record else 1
        occupants = [self._occupant(attempt) for attempt in self._running.values()]
        self._memory.reset(memory_tokens, occupants)

    def _occupant(self, attempt: Attempt) -> Occupant:
        cached = self._occupants.get(attempt.attempt_id)
        if cached is None:
            cached = self._occupants[attempt.attempt_id] = occupant(attempt)
        cached.n_done = len(attempt.texts)
        return cached

    def _fits(self, attempt: Attempt) -> bool:
        # An idle endpoint takes any attempt; one that is expected to exceed the
        # memory would otherwise wait forever.
        return not self._running or self._memory.fits(self._occupant(attempt))

    def _start(self, attempt: Attempt) -> Iterator[Message]:
        self._queued_at.pop(attempt.attempt_id, None)
        self._memory.add(self._occupant(attempt))
        self._running[attempt.attempt_id] = attempt
        self._state.n_running = len(self._running)
        self._external.record_own_running(self._state.n_running, self._clock.now())
        yield Decision(
            "admit",
            request_id=attempt.request_id,
            reason="within limit and expected memory",
            n_running=self._state.n_running,
            limit=self._state.limit,
            load=round(self._memory.load, 3),
        )
        yield Admitted(attempt)

    def _refuse(
        self, attempt: Attempt, kind: ErrorKind, detail: str
    ) -> Iterator[Message]:
        self._attempts.refuse(attempt.attempt_id, self._clock.now())
        self._forget_queued(attempt)
        if attempt.peer:
            yield Refused(attempt.attempt_id, kind.value, detail).with_peer(
                attempt.peer
            )

    def _forget_queued(self, attempt: Attempt) -> None:
        self._queued_at.pop(attempt.attempt_id, None)
        self._expected_tokens.pop(attempt.attempt_id, None)
        self._occupants.pop(attempt.attempt_id, None)
        self._state.n_waiting = len(self._queue)


def _is_orphan(attempt: Attempt, now: float) -> bool:
    orphaned_at = attempt.orphaned_at
    return orphaned_at is not None and now - orphaned_at >= QUEUED_ORPHAN_GRACE_S
