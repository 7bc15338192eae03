"""The system with known output lengths, an upper bound for any predictor."""

import random
from collections.abc import Iterable, Sequence

from hawthornyard.policy import (
    LengthPredictor,
    LengthSource,
    MemoryLimit,
    Occupant,
    RoutingPolicy,
)

from .runner import Runner
from .score import JobRecord
from .variant import FullSystem

# Tokens that the runner may have emitted since it last reported to the sidecar.
UNREPORTED_TOKENS = 8


class OraclePredictor:
    """Length predictor that looks up the true length.

    Args:
        records: Records of all jobs by id.
    """

    __slots__ = ("_records",)

    def __init__(self, records: dict[str, JobRecord]) -> None:
        self._records = records

    def survival(
        self, source: LengthSource, n_done: int, further_tokens: Sequence[int]
    ) -> list[float]:
        """Return 1.0 for each number of further tokens that is reached, else 0.0."""
        n_remaining = self._records[source.request_id].job.n_output - n_done
        return [1.0 if n_tokens < n_remaining else 0.0 for n_tokens in further_tokens]

    def observe(self, source: LengthSource, n_tokens: int) -> None:
        """Do nothing: all lengths are known."""


class OracleMemoryLimit:
    """Memory limit that computes the peak use from the true lengths.

    Args:
        records: Records of all jobs by id.
    """

    __slots__ = ("_memory_tokens", "_occupants", "_records")

    def __init__(self, records: dict[str, JobRecord]) -> None:
        self._records = records
        self._memory_tokens = 1
        self._occupants: list[Occupant] = []

    @property
    def load(self) -> float:
        """Return the share of the memory in use at the future peak."""
        return self._peak_tokens(self._occupants) / self._memory_tokens

    def reset(self, memory_tokens: int, running: Iterable[Occupant]) -> None:
        """Replace the state by the running generations."""
        self._memory_tokens = memory_tokens
        self._occupants = list(running)

    def fits(self, occupant: Occupant) -> bool:
        """Return whether the peak use with one more generation fits."""
        return self._peak_tokens([*self._occupants, occupant]) <= self._memory_tokens

    def add(self, occupant: Occupant) -> None:
        """Add a generation to the occupants."""
        self._occupants.append(occupant)

    def on_report(self, n_preempted: int, elapsed_s: float) -> None:
        """Do nothing: all lengths are known."""

    def _peak_tokens(self, occupants: Sequence[Occupant]) -> int:
        ends = sorted(
            (self._remaining_tokens(item), self._held_tokens(item))
            for item in occupants
        )
        held = sum(size for _, size in ends)
        peak = held
        for index, (n_remaining, size) in enumerate(ends):
            peak = max(peak, held + n_remaining * (len(ends) - index))
            held -= size
        return peak

    def _remaining_tokens(self, occupant: Occupant) -> int:
        job = self._records[occupant.source.request_id].job
        return job.n_output - occupant.n_done

    def _held_tokens(self, occupant: Occupant) -> int:
        return occupant.n_prompt + occupant.n_done + UNREPORTED_TOKENS


class OracleVariant:
    """The full system with known output lengths."""

    __slots__ = ("_full_system",)

    def __init__(self) -> None:
        self._full_system = FullSystem()

    def predictor(self, records: dict[str, JobRecord]) -> LengthPredictor:
        """Return a predictor with the true lengths."""
        return OraclePredictor(records)

    def memory(
        self, records: dict[str, JobRecord], predictor: LengthPredictor
    ) -> MemoryLimit:
        """Return a memory limit with the true lengths."""
        return OracleMemoryLimit(records)

    def routing(self, rng: random.Random) -> RoutingPolicy:
        """Return the routing policy of the full system."""
        return self._full_system.routing(rng)

    def initial_limit(self, runner: Runner) -> int:
        """Return the batch size that the runner can take when cold."""
        return self._full_system.initial_limit(runner)

    def charged_team(self, name: str) -> str:
        """Return the request's own team."""
        return name
