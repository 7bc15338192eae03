"""Hold the runners of one run and what drives them."""

from collections.abc import Sequence
from typing import Protocol

from .deployment import DeploymentSpec
from .loop import EventLoop
from .runner import Runner
from .score import GapHistogram, JobRecord


class World:
    """The runners and the loop of one run.

    Args:
        spec: The deployment.
        seed: Seed of the run.

    Attributes:
        spec: The deployment.
        seed: Seed of the run.
        loop: Runs all events.
        gaps: Times between tokens.
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
    """Decide which job begins where and when."""

    def on_arrival(self, record: JobRecord) -> None:
        """Take a job."""
        ...

    def on_domain_change(self, domain: str, in_service: bool) -> None:
        """Take a change of a failure domain's record."""
        ...

    def on_runner_died(self, runner: Runner, lost: Sequence[JobRecord]) -> None:
        """Take the loss of a runner with all that it ran."""
        ...

    def on_runner_started(self, runner: Runner) -> None:
        """Take the start of a cold runner."""
        ...


class SchedulerFactory(Protocol):
    """Make the scheduler of a run."""

    def __call__(self, world: World) -> Scheduler:
        """Return a scheduler that drives the runners of a world."""
        ...
