"""Baseline schedulers: common load balancers without length prediction."""

import random
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from .runner import Runner
from .score import JobRecord
from .world import World

EXPIRY_INTERVAL_S = 0.5


class Picker(Protocol):
    """Choose a runner for a job."""

    def pick(self, runners: Sequence["BalancedRunner"]) -> "BalancedRunner | None":
        """Return a runner, None if the job has to wait."""
        ...


class BalancedRunner:
    """A runner with the state that a load balancer keeps for it.

    Attributes:
        runner: The runner.
        in_service: Whether it may get new jobs.
        running: Records of the jobs sent to it that have not ended, by job id.
    """

    __slots__ = ("in_service", "runner", "running")

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.in_service = True
        self.running: dict[str, JobRecord] = {}


class RoundRobinPicker:
    """Round robin with a fixed limit on the jobs at each runner."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def pick(self, runners: Sequence[BalancedRunner]) -> BalancedRunner | None:
        """Return the next runner below its limit, None if all have reached it."""
        for _ in runners:
            self._turn += 1
            candidate = runners[self._turn % len(runners)]
            if len(candidate.running) < candidate.runner.spec.max_limit:
                return candidate
        return None


class LeastOutstandingPicker:
    """The runner with the fewest outstanding jobs."""

    __slots__ = ()

    def pick(self, runners: Sequence[BalancedRunner]) -> BalancedRunner | None:
        """Return the runner with the fewest outstanding jobs."""
        return min(runners, key=lambda candidate: len(candidate.running))


class PowerOfTwoPicker:
    """The less loaded of two random runners, by their reported load.

    Args:
        rng: Source of randomness.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def pick(self, runners: Sequence[BalancedRunner]) -> BalancedRunner | None:
        """Return the runner with fewer sequences and less memory in use."""
        sampled = self._rng.sample(runners, min(2, len(runners)))
        return min(sampled, key=_reported_load)


class Balancer:
    """Send jobs in order of arrival to the runner that a picker names.

    Args:
        world: The runners.
        picker: Picks a runner.
    """

    __slots__ = ("_candidates", "_picker", "_waiting", "_world")

    def __init__(self, world: World, picker: Picker) -> None:
        self._world = world
        self._picker = picker
        self._waiting: deque[JobRecord] = deque()
        self._candidates = {
            name: BalancedRunner(runner) for name, runner in world.runners.items()
        }
        for runner in world.runners.values():
            runner.on_finished = self._on_finished
        world.loop.every(EXPIRY_INTERVAL_S, self._expire_overdue)

    def on_arrival(self, record: JobRecord) -> None:
        """Queue a job and dispatch the waiting jobs."""
        self._waiting.append(record)
        self._dispatch()

    def on_domain_change(self, domain: str, in_service: bool) -> None:
        """Stop or resume dispatching to the runners of a failure domain."""
        for candidate in self._candidates.values():
            if candidate.runner.spec.domain == domain:
                candidate.in_service = in_service
        self._dispatch()

    def on_runner_died(self, runner: Runner, lost: Sequence[JobRecord]) -> None:
        """Requeue the lost jobs that have emitted no token; the others are lost."""
        self._candidates[runner.spec.name].running.clear()
        for record in lost:
            if record.first_token_at is None:
                self._waiting.appendleft(record)
            else:
                record.is_lost = True
        self._dispatch()

    def on_runner_started(self, runner: Runner) -> None:
        """Dispatch the waiting jobs."""
        self._dispatch()

    def _on_finished(self, record: JobRecord) -> None:
        record.ended_at = self._world.loop.clock.now()
        for candidate in self._candidates.values():
            candidate.running.pop(record.job.id, None)
        self._dispatch()

    def _dispatch(self) -> None:
        usable = [
            candidate
            for candidate in self._candidates.values()
            if candidate.in_service and candidate.runner.is_alive
        ]
        while self._waiting and usable:
            candidate = self._picker.pick(usable)
            if candidate is None:
                return
            record = self._waiting.popleft()
            candidate.running[record.job.id] = record
            candidate.runner.submit(record)

    def _expire_overdue(self) -> None:
        now = self._world.loop.clock.now()
        for record in [item for item in self._waiting if item.job.deadline <= now]:
            self._waiting.remove(record)
            record.refused_at = now
        for candidate in self._candidates.values():
            for record in list(candidate.running.values()):
                if record.job.deadline <= now:
                    del candidate.running[record.job.id]
                    candidate.runner.cancel(record.job)
        self._dispatch()


def round_robin(world: World) -> Balancer:
    """Return a round-robin balancer with a fixed concurrency limit."""
    return Balancer(world, RoundRobinPicker())


def least_outstanding(world: World) -> Balancer:
    """Return a balancer that picks the runner with the fewest outstanding jobs."""
    return Balancer(world, LeastOutstandingPicker())


def power_of_two_choices(world: World) -> Balancer:
    """Return a balancer that picks the less loaded of two random runners."""
    return Balancer(world, PowerOfTwoPicker(random.Random(world.seed)))


def _reported_load(candidate: BalancedRunner) -> float:
    load = candidate.runner.model.load()
    return load.memory_used + load.n_waiting
