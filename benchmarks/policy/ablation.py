"""Ablations: the system with one part left out or fixed."""

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
    """Predictor that keeps its prior and learns nothing."""

    __slots__ = ()

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Ignore the observed length."""


class WithoutPredictor(FullSystem):
    """The system with lengths predicted from the prior alone."""

    __slots__ = ()

    def predictor(self, records: dict[str, JobRecord]) -> LengthPredictor:
        """Return a predictor that does not learn."""
        return PriorOnlyPredictor()


class WithoutMargin(FullSystem):
    """The system without a safety margin on the expected memory use."""

    __slots__ = ()

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return a memory limit without a margin."""
        return ExpectedMemory(predictor, margin_sigmas=0.0, is_adaptive=False)


class WithFixedMargin(FullSystem):
    """The system with the safety margin fixed at its initial value."""

    __slots__ = ()

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return a memory limit that does not adapt."""
        return ExpectedMemory(predictor, is_adaptive=False)


class WithoutAffinity(FullSystem):
    """The system without prefix affinity in routing."""

    __slots__ = ()

    def routing(self, rng: random.Random) -> RoutingPolicy:
        """Return a routing policy without affinity."""
        return PowerOfTwoChoices(rng)


class WithoutSlowStart(FullSystem):
    """The system with each endpoint starting at its maximum limit."""

    __slots__ = ()

    def initial_limit(self, runner: Runner) -> int:
        """Return the limit of a warm endpoint."""
        return runner.spec.max_limit


class WithoutFairness(FullSystem):
    """The system with all work charged to one team."""

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
