"""Simulated model runner that records when tokens are emitted."""

import random
from collections.abc import Callable

from hawthornyard.standins import EngineModel, Sequence, Step

from .deployment import RunnerSpec
from .loop import EventLoop
from .score import TOKEN_GAP_TARGET_S, GapHistogram, JobRecord
from .workload import PREFIX_TOKENS, Job

RecordCallback = Callable[[JobRecord], None]


class Runner:
    """A simulated model runner.

    Args:
        spec: Speed and memory of the runner.
        loop: Event loop that runs the engine's steps.
        seed: Seed of the runner's random generator.
        gaps: Histogram to which the times between tokens are added.

    Attributes:
        spec: Speed and memory of the runner.
        model: The engine.
        is_alive: Whether the engine runs.
        n_preempted: Preemptions so far.
        n_steps_over_cold_limit: Steps in which it was cold and had too large a batch.
        on_first_token: Called for the first token of a job.
        on_finished: Called for the last token of a job.
    """

    __slots__ = (
        "_epoch",
        "_gaps",
        "_is_stepping",
        "_last_step_at",
        "_loop",
        "_records",
        "_rng",
        "_running",
        "_stall_at_join",
        "_total_stall_s",
        "is_alive",
        "model",
        "n_preempted",
        "n_steps_over_cold_limit",
        "on_finished",
        "on_first_token",
        "spec",
    )

    def __init__(
        self, spec: RunnerSpec, loop: EventLoop, seed: int, gaps: GapHistogram
    ) -> None:
        self.spec = spec
        self._loop = loop
        self._gaps = gaps
        self._rng = random.Random(f"{spec.name}/{seed}")
        self._records: dict[str, JobRecord] = {}
        self._running: dict[str, Sequence] = {}
        self._stall_at_join: dict[str, float] = {}
        self._total_stall_s = 0.0
        self._last_step_at = 0.0
        self._is_stepping = False
        self._epoch = 0
        self.is_alive = True
        self.n_steps_over_cold_limit = 0
        self.n_preempted = 0
        self.on_first_token: RecordCallback = _ignore
        self.on_finished: RecordCallback = _ignore
        self.model = self._new_model()
        # Runners are warm at the start of a run.
        self.model.make_warm()

    def submit(self, record: JobRecord) -> None:
        """Start a job."""
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
        if not self._is_stepping:
            self._step()

    def cancel(self, job: Job) -> None:
        """Cancel a job if it has not ended."""
        if self._running.pop(job.id, None) is not None:
            self.model.cancel(job.id)
            self._leave_batch(job.id, self._loop.clock.now())

    def n_done(self, job_id: str) -> int:
        """Return the tokens that a job has emitted, 0 if it does not run."""
        sequence = self._running.get(job_id)
        return sequence.n_done if sequence is not None else 0

    def job_ids(self) -> list[str]:
        """Return the ids of the jobs that run or wait in the engine."""
        return list(self._running)

    def crash(self) -> list[JobRecord]:
        """Stop the engine and lose its jobs; return their records."""
        lost = [self._records[job_id] for job_id in self._running]
        self._running.clear()
        self._epoch += 1
        self._is_stepping = False
        self.is_alive = False
        self.model = self._new_model()
        return lost

    def restart(self) -> None:
        """Start the new engine, which is cold."""
        self.is_alive = True

    def _new_model(self) -> EngineModel:
        return EngineModel(
            self.spec.profile, clock=self._loop.clock, random_source=self._rng
        )

    def _step(self) -> None:
        if self.model.is_idle:
            self._is_stepping = False
            return
        self._is_stepping = True
        step = self.model.step()
        epoch = self._epoch
        when = self._loop.clock.now() + step.duration_s
        self._loop.at(when, lambda: self._end_step(step, epoch))

    def _end_step(self, step: Step, epoch: int) -> None:
        if epoch != self._epoch:
            return
        now = self._loop.clock.now()
        self.n_steps_over_cold_limit += step.is_over_cold_limit
        self.n_preempted += len(step.preempted)
        for sequence in step.preempted:
            self._leave_batch(sequence.id, self._last_step_at)
        gap_s = now - self._last_step_at
        n_contiguous = len(step.advanced) - len(step.joined)
        if n_contiguous:
            self._gaps.add(gap_s, n_contiguous)
            self._total_stall_s += max(0.0, gap_s - TOKEN_GAP_TARGET_S)
        for sequence in step.joined:
            self._join_batch(sequence.id, now)
        self._last_step_at = now
        for sequence in step.finished:
            self._finish(sequence.id, now)
        self._step()

    def _join_batch(self, job_id: str, now: float) -> None:
        record = self._records[job_id]
        is_first = record.first_token_at is None
        if record.last_token_at is not None:
            self._gaps.add(now - record.last_token_at)
        record.add_delayed_token(now)
        self._stall_at_join[job_id] = self._total_stall_s
        if is_first:
            self.on_first_token(record)

    def _leave_batch(self, job_id: str, now: float) -> None:
        record = self._records[job_id]
        stall_at_join = self._stall_at_join.pop(job_id, None)
        if stall_at_join is not None:
            record.gap_stall_s += self._total_stall_s - stall_at_join
            record.last_token_at = now

    def _finish(self, job_id: str, now: float) -> None:
        self._leave_batch(job_id, now)
        if self._running.pop(job_id, None) is not None:
            self.on_finished(self._records[job_id])

    def settle_stalls(self, now: float) -> None:
        """Add the stalls of jobs that still run to their records."""
        for job_id in list(self._stall_at_join):
            self._leave_batch(job_id, now)


def _ignore(record: JobRecord) -> None:
    """Ignore the event."""
