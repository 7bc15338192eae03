"""Know every length ahead, as a bound that no real predictor reaches."""

import random
from collections.abc import Sequence

from hawthornyard.policy import (
    ExpectedMemory,
    LengthPredictor,
    LengthSource,
    MemoryLimit,
    RoutingPolicy,
)

from .runner import Runner
from .score import Record
from .variant import Whole


class OraclePredictor:
    """Look the length of an output up.

    Args:
        records: Records of all jobs by id.
    """

    __slots__ = ("_records",)

    def __init__(self, records: dict[str, Record]) -> None:
        self._records = records

    def survival(
        self, source: LengthSource, n_done: int, ahead: Sequence[int]
    ) -> list[float]:
        """Return 1 for each number of tokens that will be reached, else 0."""
        n_left = self._records[source.request_id].job.n_output - n_done
        return [1.0 if n_tokens < n_left else 0.0 for n_tokens in ahead]

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Learn nothing."""


class Oracle:
    """The whole system with lengths that are known ahead."""

    __slots__ = ("_whole",)

    def __init__(self) -> None:
        self._whole = Whole()

    def predictor(self, records: dict[str, Record]) -> LengthPredictor:
        """Return a predictor that knows each length."""
        return OraclePredictor(records)

    def memory(self, predictor: LengthPredictor) -> MemoryLimit:
        """Return the memory limit of the programs, without a margin."""
        return ExpectedMemory(predictor, safety=0.0, adapts=False)

    def routing(self, chance: random.Random) -> RoutingPolicy:
        """Return the routing policy of the programs."""
        return self._whole.routing(chance)

    def initial_limit(self, runner: Runner) -> int:
        """Return what the runner bears when cold."""
        return self._whole.initial_limit(runner)

    def team(self, name: str) -> str:
        """Return the team itself."""
        return name
