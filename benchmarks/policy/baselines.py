"""Schedule without prediction, as common load balancers do."""

import random
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from .runner import Runner
from .score import Record
from .world import World

EXPIRY_INTERVAL_S = 0.5


class Picker(Protocol):
    """Pick the runner of a job."""

    def pick(self, runners: Sequence["Slot"]) -> "Slot | None":
        """Return a runner, or None if the job has to wait."""
        ...


class Slot:
    """A runner as a load balancer sees it.

    Attributes:
        runner: The runner.
        in_service: Whether it may get new work.
        running: Records of the jobs that were sent there.
    """

    __slots__ = ("in_service", "runner", "running")

    def __init__(self, runner: Runner) -> None:
        self.runner = runner
        self.in_service = True
        self.running: dict[str, Record] = {}


class RoundRobin:
    """Take turns, up to a fixed number of jobs at each runner."""

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def pick(self, runners: Sequence[Slot]) -> Slot | None:
        """Return the next runner that is below its limit."""
        for _ in runners:
            self._turn += 1
            slot = runners[self._turn % len(runners)]
            if len(slot.running) < slot.runner.spec.max_limit:
                return slot
        return None


class LeastOutstanding:
    """Take the runner with the fewest jobs that have not ended."""

    __slots__ = ()

    def pick(self, runners: Sequence[Slot]) -> Slot | None:
        """Return the runner with the fewest jobs."""
        return min(runners, key=lambda slot: len(slot.running))


class TwoByLoad:
    """Take the less loaded of two random runners by their own reports.

    Args:
        chance: Source of randomness.
    """

    __slots__ = ("_chance",)

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance

    def pick(self, runners: Sequence[Slot]) -> Slot | None:
        """Return the runner with fewer sequences and less memory in use."""
        drawn = self._chance.sample(runners, min(2, len(runners)))
        return min(drawn, key=_reported)


class Balancer:
    """Send jobs in order of arrival to the runner that a picker names.

    Args:
        world: The runners.
        picker: Picks a runner.
    """

    __slots__ = ("_picker", "_slots", "_waiting", "_world")

    def __init__(self, world: World, picker: Picker) -> None:
        self._world = world
        self._picker = picker
        self._waiting: deque[Record] = deque()
        self._slots = {name: Slot(runner) for name, runner in world.runners.items()}
        for runner in world.runners.values():
            runner.on_finished = self._on_finished
        world.loop.every(EXPIRY_INTERVAL_S, self._expire)

    def on_arrival(self, record: Record) -> None:
        """Queue a job and send what can be sent."""
        self._waiting.append(record)
        self._send()

    def on_domain(self, domain: str, in_service: bool) -> None:
        """Send no further work to a failure domain that is out."""
        for slot in self._slots.values():
            if slot.runner.spec.domain == domain:
                slot.in_service = in_service
        self._send()

    def on_died(self, runner: Runner, lost: Sequence[Record]) -> None:
        """Send lost jobs again of which no token has left."""
        self._slots[runner.spec.name].running.clear()
        for record in lost:
            if record.first_token_at is None:
                self._waiting.appendleft(record)
            else:
                record.lost = True
        self._send()

    def on_started(self, runner: Runner) -> None:
        """Send what waits."""
        self._send()

    def _on_finished(self, record: Record) -> None:
        record.ended_at = self._world.loop.clock.now()
        for slot in self._slots.values():
            slot.running.pop(record.job.id, None)
        self._send()

    def _send(self) -> None:
        usable = [
            slot
            for slot in self._slots.values()
            if slot.in_service and slot.runner.is_alive
        ]
        while self._waiting and usable:
            slot = self._picker.pick(usable)
            if slot is None:
                return
            record = self._waiting.popleft()
            slot.running[record.job.id] = record
            slot.runner.submit(record)

    def _expire(self) -> None:
        now = self._world.loop.clock.now()
        for record in [item for item in self._waiting if item.job.deadline <= now]:
            self._waiting.remove(record)
            record.refused_at = now
        for slot in self._slots.values():
            for record in list(slot.running.values()):
                if record.job.deadline <= now:
                    del slot.running[record.job.id]
                    slot.runner.cancel(record.job)
        self._send()


def round_robin(world: World) -> Balancer:
    """Return a balancer that takes turns under a fixed concurrency limit."""
    return Balancer(world, RoundRobin())


def least_outstanding(world: World) -> Balancer:
    """Return a balancer that counts outstanding jobs."""
    return Balancer(world, LeastOutstanding())


def two_by_load(world: World) -> Balancer:
    """Return a balancer that compares two random runners by reported load."""
    return Balancer(world, TwoByLoad(random.Random(world.seed)))


def _reported(slot: Slot) -> float:
    load = slot.runner.model.load()
    return load.memory_used + load.n_waiting
