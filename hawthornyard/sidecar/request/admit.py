"""Admit attempts as far as the endpoint can bear them."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...errors import ErrorKind
from ...frames import Refused
from ...policy import ConcurrencyLimit, FairQueue, SlowStart
from ..attempts import Attempts
from ..messages import (
    Admitted,
    Attempt,
    ConfigChanged,
    EndpointLoad,
    Finished,
    Permitted,
    Withdrawn,
)
from ..state import SidecarState

MAX_WAITING = 32


class Admit:
    """Hold attempts in a short queue until the endpoint's limit allows them.

    Args:
        state: State of the sidecar.
        attempts: Attempts that are known.
        clock: Source of time.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_limit",
        "_outside",
        "_queue",
        "_state",
        "handlers",
    )

    def __init__(self, state: SidecarState, attempts: Attempts, clock: Clock) -> None:
        self._state = state
        self._attempts = attempts
        self._clock = clock
        self._limit: ConcurrencyLimit = SlowStart(1, 1)
        self._outside = 0
        self._queue: FairQueue[Attempt] = FairQueue()
        self.handlers: Handlers = {
            Permitted: self._on_permitted,
            Finished: self._on_finished,
            EndpointLoad: self._on_load,
            ConfigChanged: self._on_config,
            Tick: self._on_tick,
            Withdrawn: self._on_withdrawn,
        }

    def _on_permitted(self, msg: Permitted) -> Iterator[Message]:
        attempt = msg.attempt
        if len(self._queue) >= MAX_WAITING:
            yield self._refuse(attempt, ErrorKind.OVERLOADED)
            return
        service = self._state.catalog.service(attempt.service)
        priority = service.priority if service else 0
        self._queue.push(attempt, attempt.team, priority=priority)
        yield from self._admit()

    def _on_withdrawn(self, msg: Withdrawn) -> Iterator[Message]:
        self._queue.discard(lambda item: item is msg.attempt)
        self._state.n_waiting = len(self._queue)
        yield from ()

    def _on_finished(self, msg: Finished) -> Iterator[Message]:
        self._state.n_running -= 1
        attempt = msg.attempt
        if msg.kind is None and attempt.begun_at is not None:
            yield from self._learn(attempt, attempt.begun_at)
        yield from self._admit()
        yield msg

    def _learn(self, attempt: Attempt, begun_at: float) -> Iterator[Message]:
        first = attempt.first_token_at or attempt.ended_at
        before = self._limit.limit
        cold = self._limit.on_finished(first - begun_at, self._state.n_running)
        self._state.limit = self._limit.limit
        if before == self._limit.limit:
            return
        yield Decision(
            "limit",
            request_id=attempt.request_id,
            reason="suspected cold" if cold else "evidence of completed work",
            before=before,
            after=self._limit.limit,
        )

    def _on_load(self, msg: EndpointLoad) -> Iterator[Message]:
        self._state.load = msg.memory_used
        self._outside = max(0, msg.n_running - self._state.n_running)
        yield from self._admit()

    def _on_config(self, msg: ConfigChanged) -> Iterator[Message]:
        record = self._state.record
        if record is not None and self._state.limit == 0:
            self._limit = SlowStart(record.initial_limit, record.max_limit)
            self._state.limit = self._limit.limit
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for attempt in self._queue.discard(lambda item: msg.now >= item.deadline):
            yield self._refuse(attempt, ErrorKind.DEADLINE_EXCEEDED)
        yield msg

    def _admit(self) -> Iterator[Message]:
        while self._state.n_running + self._outside < self._state.limit:
            attempt = self._queue.pop(lambda _: True)
            if attempt is None:
                break
            self._state.n_running += 1
            yield Decision(
                "admit",
                request_id=attempt.request_id,
                reason="within limit",
                n_running=self._state.n_running,
                limit=self._state.limit,
            )
            yield Admitted(attempt)
        self._state.n_waiting = len(self._queue)

    def _refuse(self, attempt: Attempt, kind: ErrorKind) -> Message:
        self._attempts.refuse(attempt.attempt_id, self._clock.now())
        self._state.n_waiting = len(self._queue)
        return Refused(attempt.attempt_id, kind.value, "").at(attempt.peer)
