"""Variants of the system that a run can measure."""

import random
from typing import Protocol

from hawthornyard.policy import (
    BackoffPredictor,
    ExpectedMemory,
    LengthPredictor,
    MemoryLimit,
    PowerOfTwoChoices,
    PrefixAffinity,
    RoutingPolicy,
)

from .runner import Runner
from .score import JobRecord


class Variant(Protocol):
    """Create the exchangeable parts of the system."""

    def predictor(self, records: dict[str, JobRecord]) -> LengthPredictor:
        """Return the length predictor of a sidecar or gateway."""
        ...

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return the memory limit of a sidecar."""
        ...

    def routing(self, rng: random.Random) -> RoutingPolicy:
        """Return the routing policy of a gateway."""
        ...

    def initial_limit(self, runner: Runner) -> int:
        """Return the initial limit in the record of an endpoint."""
        ...

    def charged_team(self, name: str) -> str:
        """Return the team that a request is charged to."""
        ...


class FullSystem:
    """The system as the gateway and sidecar programs compose it."""

    __slots__ = ()

    def predictor(self, records: dict[str, JobRecord]) -> LengthPredictor:
        """Return the predictor that the programs use."""
        return BackoffPredictor()

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return the memory limit that the programs use."""
        return ExpectedMemory(predictor)

    def routing(self, rng: random.Random) -> RoutingPolicy:
        """Return the routing policy that the programs use."""
        return PowerOfTwoChoices(rng, affinity=PrefixAffinity())

    def initial_limit(self, runner: Runner) -> int:
        """Return the batch size that the runner can take when cold."""
        return runner.spec.profile.cold_batch_limit

    def charged_team(self, name: str) -> str:
        """Return the request's own team."""
        return name
