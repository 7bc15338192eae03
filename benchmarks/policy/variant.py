"""Choose the parts of the system that a run measures."""

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
from .score import Record


class Variant(Protocol):
    """Make the parts of the system."""

    def predictor(self, records: dict[str, Record]) -> LengthPredictor:
        """Return the length predictor of a sidecar or gateway."""
        ...

    def memory(
        self, records: dict[str, Record], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return the memory limit of a sidecar."""
        ...

    def routing(self, chance: random.Random) -> RoutingPolicy:
        """Return the routing policy of a gateway."""
        ...

    def initial_limit(self, runner: Runner) -> int:
        """Return the initial limit in the record of an endpoint."""
        ...

    def team(self, name: str) -> str:
        """Return the team that a request is charged to."""
        ...


class Whole:
    """All parts as the programs compose them."""

    __slots__ = ()

    def predictor(self, records: dict[str, Record]) -> LengthPredictor:
        """Return the predictor of the programs."""
        return BackoffPredictor()

    def memory(
        self, records: dict[str, Record], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return the memory limit of the programs."""
        return ExpectedMemory(predictor)

    def routing(self, chance: random.Random) -> RoutingPolicy:
        """Return the routing policy of the programs."""
        return PowerOfTwoChoices(chance, affinity=PrefixAffinity())

    def initial_limit(self, runner: Runner) -> int:
        """Return what the runner bears when cold."""
        return runner.spec.profile.cold_batch_limit

    def team(self, name: str) -> str:
        """Return the team itself."""
        return name
