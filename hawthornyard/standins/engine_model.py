"""Simulate an engine with continuous batching, step by step."""

import heapq
import random
from collections.abc import Iterator

from ..core import Clock, Message, RandomSource
from ..io.clock import MonotonicClock
from .engine_cache import CacheEvent, PrefixCache
from .engine_load import LaggedLoad, LoadSample
from .engine_profile import DEFAULT_STEP_S, EngineProfile
from .engine_sequence import Sequence
from .engine_warm_up import WarmUp


class Step(Message):
    """The result of one step; its tokens are emitted at its end.

    Attributes:
        duration_s: Duration of the step in seconds.
        advanced: Sequences that generate a token.
        joined: Those of `advanced` that did not generate a token in the step before.
        finished: Those of `advanced` that generate their last token.
        preempted: Sequences that were returned to the queue to free their memory.
        is_over_cold_limit: Whether the batch was larger than the limit of an engine
            that is not warm yet.
    """

    __slots__ = (
        "duration_s",
        "advanced",
        "joined",
        "finished",
        "preempted",
        "is_over_cold_limit",
    )

    def __init__(self) -> None:
        self.duration_s = 0.0
        self.advanced: list[Sequence] = []
        self.joined: list[Sequence] = []
        self.finished: list[Sequence] = []
        self.preempted: list[Sequence] = []
        self.is_over_cold_limit = False


class EngineModel:
    """A simulated engine that generates one token a step for each running sequence.

    Args:
        profile: Speed and sizes; by default an engine whose steps all take `step_s`.
        step_s: Seconds of a step; ignored if a profile is given.
        clock: Source of time, by default the host's monotonic clock.
        random_source: Source of randomness, by default with a fixed seed.

    Attributes:
        models: Names of the loaded models; empty if any model is served.
        role: Role of the engine in the plan.
        n_preempted: Preemptions since the start.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_decoding",
        "_joining",
        "_lagged_load",
        "_n_arrived",
        "_prefilling",
        "_profile",
        "_used_tokens",
        "_waiting",
        "_warm_up",
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
        random_source: RandomSource | None = None,
    ) -> None:
        profile = profile or EngineProfile(step_s=step_s)
        self._profile = profile
        self._clock = clock or MonotonicClock()
        self._cache = PrefixCache(
            profile.cache_tokens,
            profile.event_lag_s,
            profile.event_loss_ratio,
            random_source or random.Random(0),
        )
        self._warm_up = WarmUp(
            profile.cold_batch_limit, profile.max_batch, profile.warm_up_s
        )
        self._lagged_load = LaggedLoad(profile.load_lag_s)
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._prefilling: list[Sequence] = []
        self._joining: list[Sequence] = []
        self._decoding: list[Sequence] = []
        self._used_tokens = 0
        self._n_arrived = 0
        self.models: set[str] = set()
        self.role = "generate"
        self.n_preempted = 0

    @property
    def step_s(self) -> float:
        """Return the duration of a step with an empty batch."""
        return self._profile.step_s

    @property
    def is_idle(self) -> bool:
        """Return whether no sequence is running or queued."""
        return not (self._waiting or self._n_running)

    @property
    def _n_running(self) -> int:
        return len(self._decoding) + len(self._prefilling) + len(self._joining)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence; it starts at the first step that has room for it."""
        self._n_arrived += 1
        sequence.arrival_number = self._n_arrived
        self._enqueue(sequence)

    def cancel(self, sequence_id: str) -> None:
        """Remove a sequence, running or queued; ignore one that is unknown."""
        self._waiting = [item for item in self._waiting if item[2].id != sequence_id]
        heapq.heapify(self._waiting)
        for sequence in list(self._running()):
            if sequence.id == sequence_id:
                self._remove(sequence)

    def make_cold(self) -> None:
        """Start the warm-up again and evict every prefix, but keep all sequences."""
        self._warm_up.make_cold()
        self._cache.clear(self._clock.now())

    def make_warm(self) -> None:
        """End the warm-up."""
        self._warm_up.make_warm()

    def load(self) -> LoadSample:
        """Return the load as it was `EngineProfile.load_lag_s` ago."""
        self._sample_load()
        return self._lagged_load.report(self._clock.now())

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the published cache events with a larger number."""
        return self._cache.events_after(number, self._clock.now())

    def step(self) -> Step:
        """Run one step and return its result; the caller waits for its duration."""
        step = Step()
        self._admit_waiting()
        n_prefilled = self._prefill()
        step.preempted = self._preempt_to_fit()
        n_batch = self._n_running
        step.joined = self._joining
        self._joining = []
        self._decoding += step.joined
        step.advanced = self._decoding
        step.duration_s = self._step_duration_s(n_batch, n_prefilled)
        step.is_over_cold_limit = n_batch > self._warm_up.batch_limit
        if not step.is_over_cold_limit:
            self._warm_up.add_work(step.duration_s)
        self._emit_tokens(step)
        self._sample_load()
        return step

    def _admit_waiting(self) -> None:
        profile = self._profile
        while self._waiting and self._n_running < profile.max_batch:
            sequence = self._waiting[0][2]
            # Each running sequence needs one more token in the next step.
            headroom = self._n_running
            if (
                self._used_tokens + sequence.n_memory_tokens + headroom
                >= profile.memory_tokens
            ):
                return
            heapq.heappop(self._waiting)
            self._used_tokens += sequence.n_memory_tokens
            n_cached = self._cache.use(
                sequence.prefix, sequence.n_prefix, self._clock.now()
            )
            sequence.n_to_prefill = sequence.n_memory_tokens - n_cached
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

    def _preempt_to_fit(self) -> list[Sequence]:
        preempted: list[Sequence] = []
        memory_tokens = self._profile.memory_tokens
        while (
            self._used_tokens + len(self._decoding) + len(self._joining) > memory_tokens
        ):
            victim = self._preempt_one()
            if victim is None:
                break
            preempted.append(victim)
        return preempted

    def _preempt_one(self) -> Sequence | None:
        if self._n_running <= 1:
            return None
        victim = min(
            self._running(), key=lambda item: (item.priority, -item.arrival_number)
        )
        self._remove(victim)
        self.n_preempted += 1
        victim.n_preempted += 1
        self._enqueue(victim)
        return victim

    def _remove(self, sequence: Sequence) -> None:
        for stage in (self._decoding, self._prefilling, self._joining):
            stage[:] = [item for item in stage if item is not sequence]
        self._used_tokens -= sequence.n_memory_tokens

    def _running(self) -> Iterator[Sequence]:
        yield from self._decoding
        yield from self._prefilling
        yield from self._joining

    def _enqueue(self, sequence: Sequence) -> None:
        entry = (-sequence.priority, sequence.arrival_number, sequence)
        heapq.heappush(self._waiting, entry)

    def _step_duration_s(self, n_batch: int, n_prefilled: int) -> float:
        profile = self._profile
        duration_s = profile.step_s + profile.sequence_s * n_batch
        duration_s += profile.prefill_token_s * n_prefilled
        if n_batch > self._warm_up.batch_limit:
            return duration_s * profile.cold_slowdown
        return duration_s

    def _emit_tokens(self, step: Step) -> None:
        for sequence in step.advanced:
            sequence.n_done += 1
            if sequence.n_done >= sequence.n_output:
                step.finished.append(sequence)
        self._used_tokens += len(step.advanced)
        if not step.finished:
            self._decoding = list(step.advanced)
            return
        self._used_tokens -= sum(sequence.n_memory_tokens for sequence in step.finished)
        self._decoding = [
            sequence
            for sequence in step.advanced
            if sequence.n_done < sequence.n_output
        ]

    def _sample_load(self) -> None:
        now = self._clock.now()
        if not self._lagged_load.is_sample_due(now):
            return
        memory_used = self._used_tokens / self._profile.memory_tokens
        self._lagged_load.add(
            LoadSample(
                now, self._n_running, len(self._waiting), memory_used, self.n_preempted
            )
        )
