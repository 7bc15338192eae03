"""Admit work as long as the endpoint's memory is expected to hold it."""

import math
from collections.abc import Iterable
from typing import Protocol

from ..core import Message
from .lengths import LengthPredictor, LengthSource

# Numbers of further tokens at which the expected use of memory must fit.
HORIZONS_TOKENS = (0, 16, 32, 64, 128, 256, 512, 1024, 2048)
# Margin above the mean, in standard deviations.
INITIAL_MARGIN_SIGMAS = 1.0
MIN_MARGIN_SIGMAS = 0.5
MAX_MARGIN_SIGMAS = 4.0
MARGIN_STEP_SIGMAS = 0.5
MARGIN_DECAY_SIGMAS_PER_S = 0.02
# A prediction is renewed once the output has grown by more than this fraction of
# its length at the prediction, plus a minimum.
STALE_GROWTH_RATIO = 0.125
STALE_MIN_TOKENS = 8


class Occupant(Message):
    """A generation that holds memory, or would hold it if admitted.

    Attributes:
        source: Origin of the generation.
        n_prompt: Length of its prompt, in tokens.
        n_done: Tokens generated so far.
    """

    __slots__ = ("source", "n_prompt", "n_done")

    def __init__(self, source: LengthSource, n_prompt: int, n_done: int) -> None:
        self.source = source
        self.n_prompt = n_prompt
        self.n_done = n_done


class MemoryLimit(Protocol):
    """A bound on the memory that admitted work is expected to need."""

    @property
    def load(self) -> float:
        """Return the expected use of memory as a fraction of the whole.

        It may exceed 1.
        """
        ...

    def reset(self, memory_tokens: int, running: Iterable[Occupant]) -> None:
        """Replace the counted work by the work that runs now.

        Args:
            memory_tokens: Memory of the endpoint, in tokens.
            running: Generations that hold memory.
        """
        ...

    def fits(self, occupant: Occupant) -> bool:
        """Return whether one more generation is expected to fit."""
        ...

    def add(self, occupant: Occupant) -> None:
        """Count a generation that was admitted since the last `reset`."""
        ...

    def on_report(self, n_preempted: int, elapsed_s: float) -> None:
        """Adapt to the preemptions of the endpoint.

        Args:
            n_preempted: Preemptions since the last report.
            elapsed_s: Seconds since the last report.
        """
        ...


class _Prediction:
    __slots__ = ("n_done", "probabilities")

    def __init__(self, n_done: int, probabilities: list[float]) -> None:
        self.n_done = n_done
        self.probabilities = probabilities

    def is_stale(self, n_done: int) -> bool:
        n_new_tokens = n_done - self.n_done
        return n_new_tokens > STALE_MIN_TOKENS + STALE_GROWTH_RATIO * self.n_done


class ExpectedMemory:
    """A memory limit from the expected use at several horizons, plus a margin.

    A horizon is a number of further tokens. A generation that still runs at a
    horizon holds its prompt, its output so far and those further tokens; one
    that has ended holds nothing. Means and variances add up over the
    generations, which are taken as independent. The memory required is the
    largest mean plus `margin_sigmas` standard deviations of any horizon.
    Preemptions widen the margin; without them it narrows slowly.

    Args:
        predictor: Predicts the remaining length of generations.
        margin_sigmas: Initial margin, in standard deviations.
        is_adaptive: Whether preemptions change the margin.

    Attributes:
        margin_sigmas: Present margin, in standard deviations.
    """

    __slots__ = (
        "_is_adaptive",
        "_means",
        "_memory_tokens",
        "_predictions",
        "_predictor",
        "_variances",
        "margin_sigmas",
    )

    def __init__(
        self,
        predictor: LengthPredictor,
        *,
        margin_sigmas: float = INITIAL_MARGIN_SIGMAS,
        is_adaptive: bool = True,
    ) -> None:
        self._predictor = predictor
        self._is_adaptive = is_adaptive
        self._memory_tokens = 1
        self._predictions: dict[str, _Prediction] = {}
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)
        self.margin_sigmas = margin_sigmas

    @property
    def load(self) -> float:
        """Return the memory required as a fraction of the whole, margin included."""
        return self._required_tokens(self._means, self._variances) / self._memory_tokens

    def reset(self, memory_tokens: int, running: Iterable[Occupant]) -> None:
        """Replace the counted work by the work that runs now."""
        self._memory_tokens = max(1, memory_tokens)
        self._means = [0.0] * len(HORIZONS_TOKENS)
        self._variances = [0.0] * len(HORIZONS_TOKENS)
        earlier = self._predictions
        self._predictions = {}
        for occupant in running:
            request_id = occupant.source.request_id
            if request_id in earlier:
                self._predictions[request_id] = earlier[request_id]
            self.add(occupant)

    def fits(self, occupant: Occupant) -> bool:
        """Return whether one more generation is expected to fit."""
        means, variances = list(self._means), list(self._variances)
        self._accumulate(occupant, means, variances)
        return self._required_tokens(means, variances) <= self._memory_tokens

    def add(self, occupant: Occupant) -> None:
        """Count a generation that was admitted since the last `reset`."""
        self._accumulate(occupant, self._means, self._variances)

    def on_report(self, n_preempted: int, elapsed_s: float) -> None:
        """Widen the margin after preemptions, else narrow it by the time elapsed."""
        if not self._is_adaptive:
            return
        change = (
            MARGIN_STEP_SIGMAS
            if n_preempted
            else -MARGIN_DECAY_SIGMAS_PER_S * elapsed_s
        )
        self.margin_sigmas = min(
            MAX_MARGIN_SIGMAS, max(MIN_MARGIN_SIGMAS, self.margin_sigmas + change)
        )

    def _accumulate(
        self, occupant: Occupant, means: list[float], variances: list[float]
    ) -> None:
        n_held_tokens = occupant.n_prompt + occupant.n_done
        for index, probability in enumerate(self._survival_probabilities(occupant)):
            if probability <= 0.0:
                return
            n_tokens = n_held_tokens + HORIZONS_TOKENS[index]
            mean = probability * n_tokens
            means[index] += mean
            variances[index] += mean * (n_tokens - mean)

    def _survival_probabilities(self, occupant: Occupant) -> list[float]:
        request_id, n_done = occupant.source.request_id, occupant.n_done
        prediction = self._predictions.get(request_id)
        if prediction is None or prediction.is_stale(n_done):
            probabilities = self._predictor.survival(
                occupant.source, n_done, HORIZONS_TOKENS
            )
            prediction = self._predictions[request_id] = _Prediction(
                n_done, probabilities
            )
        return prediction.probabilities

    def _required_tokens(self, means: list[float], variances: list[float]) -> float:
        return max(
            mean + self.margin_sigmas * math.sqrt(variance)
            for mean, variance in zip(means, variances, strict=True)
        )
