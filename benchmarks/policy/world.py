"""The simulated runners of one run, and the interface of schedulers."""

from collections.abc import Sequence
from typing import Protocol

from .deployment import DeploymentSpec
from .loop import EventLoop
from .runner import Runner
from .score import GapHistogram, JobRecord


class World:
    """The runners and the event loop of one run.

    Args:
        spec: The deployment.
        seed: Seed of the run.

    Attributes:
        spec: The deployment.
        seed: Seed of the run.
        loop: Event loop of the run.
        gaps: Histogram of the times between tokens.
        runners: Model runners by name.
    """

    __slots__ = ("gaps", "loop", "runners", "seed", "spec")

    def __init__(self, spec: DeploymentSpec, seed: int) -> None:
        self.spec = spec
        self.seed = seed
        self.loop = EventLoop()
        self.gaps = GapHistogram()
        self.runners = {
            item.name: Runner(item, self.loop, seed, self.gaps) for item in spec.runners
        }


class Scheduler(Protocol):
    """Decide when and at which runner each job starts."""

    def on_arrival(self, record: JobRecord) -> None:
        """Accept a job."""
        ...

    def on_domain_change(self, domain: str, in_service: bool) -> None:
        """Handle a failure domain that leaves or returns to service."""
        ...

    def on_runner_died(self, runner: Runner, lost: Sequence[JobRecord]) -> None:
        """Handle the crash of a runner, in which its jobs were lost."""
        ...

    def on_runner_started(self, runner: Runner) -> None:
        """Handle the start of a cold runner."""
        ...


class SchedulerFactory(Protocol):
    """Factory of a run's scheduler."""

    def __call__(self, world: World) -> Scheduler:
        """Return a scheduler that drives the runners of a world."""
        ...
