"""Leave one part of the system out at a time."""

import random

from hawthornyard.policy import (
    BackoffPredictor,
    ExpectedMemory,
    LengthPredictor,
    LengthSource,
    MemoryLimit,
    PowerOfTwoChoices,
    RoutingPolicy,
)

from .runner import Runner
from .score import JobRecord
from .variant import FullSystem


class PriorOnlyPredictor(BackoffPredictor):
    """Know the prior alone."""

    __slots__ = ()

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Learn nothing."""


class WithoutPredictor(FullSystem):
    """Predict lengths by the prior alone."""

    __slots__ = ()

    def predictor(self, records: dict[str, JobRecord]) -> LengthPredictor:
        """Return a predictor that does not learn."""
        return PriorOnlyPredictor()


class WithoutMargin(FullSystem):
    """Admit by the expected memory without a safety margin."""

    __slots__ = ()

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return a memory limit without a margin."""
        return ExpectedMemory(predictor, margin_sigmas=0.0, is_adaptive=False)


class WithFixedMargin(FullSystem):
    """Keep the safety margin as it is at the start."""

    __slots__ = ()

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return a memory limit that does not adapt."""
        return ExpectedMemory(predictor, is_adaptive=False)


class WithoutAffinity(FullSystem):
    """Route without regard to prefixes."""

    __slots__ = ()

    def routing(self, rng: random.Random) -> RoutingPolicy:
        """Return a routing policy without affinity."""
        return PowerOfTwoChoices(rng)


class WithoutSlowStart(FullSystem):
    """Start each endpoint at its full limit."""

    __slots__ = ()

    def initial_limit(self, runner: Runner) -> int:
        """Return the limit of a warm endpoint."""
        return runner.spec.max_limit


class WithoutFairness(FullSystem):
    """Charge all work to one team."""

    __slots__ = ()

    def charged_team(self, name: str) -> str:
        """Return the same team for all."""
        return "all"


ABLATIONS = {
    "no predictor": WithoutPredictor(),
    "no margin": WithoutMargin(),
    "fixed margin": WithFixedMargin(),
    "no affinity": WithoutAffinity(),
    "no slow start": WithoutSlowStart(),
    "no fairness": WithoutFairness(),
}
