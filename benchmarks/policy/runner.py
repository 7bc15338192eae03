"""Step one engine and record the tokens that leave it."""

import random
from collections.abc import Callable

from hawthornyard.standins import EngineModel, Sequence, Step

from .deployment import RunnerSpec
from .loop import Loop
from .score import GAP_BOUND_S, Gaps, Record
from .workload import PREFIX_TOKENS, Job

OnEvent = Callable[[Record], None]


class Runner:
    """One model runner of the bench.

    Args:
        spec: Its speed and sizes.
        loop: Runs its steps.
        seed: Seed of its chance.
        gaps: Where the times between tokens go.

    Attributes:
        spec: Its speed and sizes.
        model: The engine.
        is_alive: Whether it works.
        n_preempted: Preemptions so far.
        n_overborne: Steps in which it was cold and had too much to bear.
        on_first: Called for the first token of a job.
        on_finished: Called for the last token of a job.
    """

    __slots__ = (
        "_chance",
        "_epoch",
        "_gaps",
        "_loop",
        "_records",
        "_running",
        "_stall_s",
        "_stall_before",
        "_stepped_at",
        "_steps",
        "is_alive",
        "model",
        "n_overborne",
        "n_preempted",
        "on_finished",
        "on_first",
        "spec",
    )

    def __init__(self, spec: RunnerSpec, loop: Loop, seed: int, gaps: Gaps) -> None:
        self.spec = spec
        self._loop = loop
        self._gaps = gaps
        self._chance = random.Random(f"{spec.name}/{seed}")
        self._records: dict[str, Record] = {}
        self._running: dict[str, Sequence] = {}
        self._stall_before: dict[str, float] = {}
        self._stall_s = 0.0
        self._stepped_at = 0.0
        self._steps = False
        self._epoch = 0
        self.is_alive = True
        self.n_overborne = 0
        self.n_preempted = 0
        self.on_first: OnEvent = _ignore
        self.on_finished: OnEvent = _ignore
        self.model = self._new_model()
        # Runners have worked before the run begins.
        self.model.make_warm()

    def submit(self, record: Record) -> None:
        """Begin a job."""
        job = record.job
        sequence = Sequence(
            job.id,
            job.n_output,
            n_prompt=job.n_prompt,
            priority=job.priority,
            prefix=job.prefix,
            n_prefix=PREFIX_TOKENS,
        )
        self._records[job.id] = record
        self._running[job.id] = sequence
        self.model.add(sequence)
        if not self._steps:
            self._step()

    def cancel(self, job: Job) -> None:
        """Stop a job."""
        if self._running.pop(job.id, None) is not None:
            self.model.cancel(job.id)
            self._leave_batch(job.id, self._loop.clock.now())

    def n_done(self, job_id: str) -> int:
        """Return the tokens that have left for a job."""
        sequence = self._running.get(job_id)
        return sequence.n_done if sequence is not None else 0

    def job_ids(self) -> list[str]:
        """Return the jobs that run or wait in the engine."""
        return list(self._running)

    def die(self) -> list[Record]:
        """Lose the engine and return the records of what it ran."""
        lost = [self._records[job_id] for job_id in self._running]
        self._running.clear()
        self._epoch += 1
        self._steps = False
        self.is_alive = False
        self.model = self._new_model()
        return lost

    def start(self) -> None:
        """Start a new engine, which is cold."""
        self.is_alive = True

    def _new_model(self) -> EngineModel:
        return EngineModel(
            self.spec.profile, clock=self._loop.clock, random_source=self._chance
        )

    def _step(self) -> None:
        if self.model.is_idle:
            self._steps = False
            return
        self._steps = True
        step = self.model.step()
        epoch = self._epoch
        when = self._loop.clock.now() + step.duration_s
        self._loop.at(when, lambda: self._end_step(step, epoch))

    def _end_step(self, step: Step, epoch: int) -> None:
        if epoch != self._epoch:
            return
        now = self._loop.clock.now()
        self.n_overborne += step.is_over_cold_limit
        self.n_preempted += len(step.preempted)
        for sequence in step.preempted:
            self._leave_batch(sequence.id, self._stepped_at)
        gap_s = now - self._stepped_at
        n_contiguous = len(step.advanced) - len(step.joined)
        if n_contiguous:
            self._gaps.add(gap_s, n_contiguous)
            self._stall_s += max(0.0, gap_s - GAP_BOUND_S)
        for sequence in step.joined:
            self._join_batch(sequence.id, now)
        self._stepped_at = now
        for sequence in step.finished:
            self._finish(sequence.id, now)
        self._step()

    def _join_batch(self, job_id: str, now: float) -> None:
        record = self._records[job_id]
        is_first = record.first_token_at is None
        if record.last_token_at is not None:
            self._gaps.add(now - record.last_token_at)
        record.on_gap(now)
        self._stall_before[job_id] = self._stall_s
        if is_first:
            self.on_first(record)

    def _leave_batch(self, job_id: str, now: float) -> None:
        record = self._records[job_id]
        before = self._stall_before.pop(job_id, None)
        if before is not None:
            record.gap_stall_s += self._stall_s - before
            record.last_token_at = now

    def _finish(self, job_id: str, now: float) -> None:
        self._leave_batch(job_id, now)
        if self._running.pop(job_id, None) is not None:
            self.on_finished(self._records[job_id])

    def close(self, now: float) -> None:
        """Count the stalls of what still runs."""
        for job_id in list(self._stall_before):
            self._leave_batch(job_id, now)


def _ignore(record: Record) -> None:
    """Do nothing."""
