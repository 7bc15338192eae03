"""Interfaces for time, randomness and identifiers, so that decisions stay pure."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

T = TypeVar("T")


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class RandomSource(Protocol):
    """Source of random numbers; `random.Random` satisfies this protocol."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` distinct members of `population`."""
        ...


class Identifiers(Protocol):
    """Source of identifiers that are unique in the fleet."""

    def new(self) -> str:
        """Return a new unique identifier."""
        ...


class ManualClock:
    """Clock that moves only when advanced; for tests and benchmarks."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the current manual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now += seconds
