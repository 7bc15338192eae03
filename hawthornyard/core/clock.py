"""Name the sources of time and chance that decisions are handed."""

from collections.abc import Sequence
from typing import Protocol, TypeVar

T = TypeVar("T")


class Clock(Protocol):
    """Tell monotonic time."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        ...


class RandomSource(Protocol):
    """Draw random numbers; `random.Random` satisfies this."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return `k` distinct members of `population`."""
        ...


class Identifiers(Protocol):
    """Make identifiers that are unique in the fleet."""

    def new(self) -> str:
        """Return an identifier that was never returned before."""
        ...


class ManualClock:
    """A clock that moves only when told; for tests and benches."""

    __slots__ = ("_now",)

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def now(self) -> float:
        """Return the time that was last set, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by `seconds`."""
        self._now += seconds
