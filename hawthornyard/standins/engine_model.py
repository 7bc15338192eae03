"""Model a model engine that batches continuously, step by step."""

import heapq
import random
from collections.abc import Iterator

from ..core import Clock, Message, RandomSource
from ..rim.clock import MonotonicClock
from .engine_cache import CacheEvent, PrefixCache
from .engine_load import LaggedLoad, Load
from .engine_profile import DEFAULT_STEP_S, EngineProfile
from .engine_sequence import Sequence
from .engine_warmth import Warmth


class Step(Message):
    """What one step does; its tokens leave at its end.

    Attributes:
        seconds: How long the step takes.
        advanced: Sequences that generate a token.
        joined: Those of them that did not generate one in the step before.
        finished: Those of them that generate their last.
        preempted: Sequences that lost their memory.
        is_overborne: Whether the engine was cold and had too much to bear.
    """

    __slots__ = (
        "seconds",
        "advanced",
        "joined",
        "finished",
        "preempted",
        "is_overborne",
    )

    def __init__(self) -> None:
        self.seconds = 0.0
        self.advanced: list[Sequence] = []
        self.joined: list[Sequence] = []
        self.finished: list[Sequence] = []
        self.preempted: list[Sequence] = []
        self.is_overborne = False


class EngineModel:
    """Generate one token a step for every running sequence.

    Args:
        profile: Speed and sizes; made from `step_s` if left out.
        step_s: Seconds of a step, for an engine that is never crowded.
        clock: Source of time, the host's by default.
        chance: Source of randomness, a fixed seed by default.

    Attributes:
        models: Names of the models that are loaded; empty if any is served.
        role: What the engine is used for.
        n_preempted: Preemptions since the start.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_decoding",
        "_joining",
        "_lagged",
        "_n_arrived",
        "_prefilling",
        "_profile",
        "_used",
        "_waiting",
        "_warmth",
        "models",
        "n_preempted",
        "role",
    )

    def __init__(
        self,
        profile: EngineProfile | None = None,
        *,
        step_s: float = DEFAULT_STEP_S,
        clock: Clock | None = None,
        chance: RandomSource | None = None,
    ) -> None:
        profile = profile or EngineProfile(step_s=step_s)
        self._profile = profile
        self._clock = clock or MonotonicClock()
        self._cache = PrefixCache(
            profile.cache_tokens,
            profile.event_lag_s,
            profile.event_loss,
            chance or random.Random(0),
        )
        self._warmth = Warmth(profile.cold_bears, profile.max_batch, profile.warm_up_s)
        self._lagged = LaggedLoad(profile.load_lag_s)
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._prefilling: list[Sequence] = []
        self._joining: list[Sequence] = []
        self._decoding: list[Sequence] = []
        self._used = 0
        self._n_arrived = 0
        self.models: set[str] = set()
        self.role = "generate"
        self.n_preempted = 0

    @property
    def step_s(self) -> float:
        """Return the seconds of a step with an empty batch."""
        return self._profile.step_s

    @property
    def is_idle(self) -> bool:
        """Return whether no sequence runs or waits."""
        return not (self._waiting or self._n_running)

    @property
    def _n_running(self) -> int:
        return len(self._decoding) + len(self._prefilling) + len(self._joining)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence; it begins at the next step that has room."""
        self._n_arrived += 1
        sequence.order = self._n_arrived
        self._wait(sequence)

    def cancel(self, sequence_id: str) -> None:
        """Drop a sequence."""
        self._waiting = [item for item in self._waiting if item[2].id != sequence_id]
        heapq.heapify(self._waiting)
        for sequence in list(self._running()):
            if sequence.id == sequence_id:
                self._drop(sequence)

    def turn_cold(self) -> None:
        """Lose the warm state and the prefix cache, but no sequence."""
        self._warmth.turn_cold()
        self._cache.clear(self._clock.now())

    def warm_up(self) -> None:
        """Become warm at once."""
        self._warmth.warm_up()

    def load(self) -> Load:
        """Return the load as it was some time ago."""
        self._sample()
        return self._lagged.report(self._clock.now())

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the published cache events with a larger number."""
        return self._cache.events_after(number, self._clock.now())

    def step(self) -> Step:
        """Run one step from now on."""
        step = Step()
        self._begin_waiting()
        n_prefilled = self._prefill()
        step.preempted = self._make_room()
        n_batch = self._n_running
        step.joined = self._joining
        self._joining = []
        self._decoding += step.joined
        step.advanced = self._decoding
        step.seconds = self._seconds(n_batch, n_prefilled)
        step.is_overborne = n_batch > self._warmth.bears
        if not step.is_overborne:
            self._warmth.work(step.seconds)
        self._emit(step)
        self._sample()
        return step

    def _begin_waiting(self) -> None:
        profile = self._profile
        while self._waiting and self._n_running < profile.max_batch:
            sequence = self._waiting[0][2]
            headroom = self._n_running
            if self._used + sequence.n_held + headroom >= profile.memory_tokens:
                return
            heapq.heappop(self._waiting)
            self._used += sequence.n_held
            n_cached = self._cache.use(
                sequence.prefix, sequence.n_prefix, self._clock.now()
            )
            sequence.n_to_prefill = sequence.n_held - n_cached
            self._prefilling.append(sequence)

    def _prefill(self) -> int:
        budget = self._profile.prefill_chunk
        while self._prefilling:
            sequence = self._prefilling[0]
            n_tokens = min(budget, sequence.n_to_prefill)
            sequence.n_to_prefill -= n_tokens
            budget -= n_tokens
            if sequence.n_to_prefill:
                break
            self._joining.append(self._prefilling.pop(0))
        return self._profile.prefill_chunk - budget

    def _make_room(self) -> list[Sequence]:
        preempted: list[Sequence] = []
        memory_tokens = self._profile.memory_tokens
        while self._used + len(self._decoding) + len(self._joining) > memory_tokens:
            victim = self._victim()
            if victim is None:
                break
            preempted.append(victim)
        return preempted

    def _victim(self) -> Sequence | None:
        if self._n_running <= 1:
            return None
        victim = min(self._running(), key=lambda item: (item.priority, -item.order))
        self._drop(victim)
        self.n_preempted += 1
        victim.n_preempted += 1
        self._wait(victim)
        return victim

    def _drop(self, sequence: Sequence) -> None:
        for stage in (self._decoding, self._prefilling, self._joining):
            stage[:] = [item for item in stage if item is not sequence]
        self._used -= sequence.n_held

    def _running(self) -> Iterator[Sequence]:
        yield from self._decoding
        yield from self._prefilling
        yield from self._joining

    def _wait(self, sequence: Sequence) -> None:
        entry = (-sequence.priority, sequence.order, sequence)
        heapq.heappush(self._waiting, entry)

    def _seconds(self, n_batch: int, n_prefilled: int) -> float:
        profile = self._profile
        seconds = profile.step_s + profile.sequence_s * n_batch
        seconds += profile.prefill_token_s * n_prefilled
        if n_batch > self._warmth.bears:
            return seconds * profile.cold_stretch
        return seconds

    def _emit(self, step: Step) -> None:
        for sequence in step.advanced:
            sequence.n_done += 1
            if sequence.n_done >= sequence.n_output:
                step.finished.append(sequence)
        self._used += len(step.advanced)
        if not step.finished:
            self._decoding = list(step.advanced)
            return
        self._used -= sum(sequence.n_held for sequence in step.finished)
        self._decoding = [
            sequence
            for sequence in step.advanced
            if sequence.n_done < sequence.n_output
        ]

    def _sample(self) -> None:
        now = self._clock.now()
        if not self._lagged.wants_sample(now):
            return
        used = self._used / self._profile.memory_tokens
        self._lagged.add(
            Load(now, self._n_running, len(self._waiting), used, self.n_preempted)
        )
