"""Estimate the load of each model from what the endpoints report."""

from collections.abc import Iterable

from ..core import Message
from .demand import Situation
from .draft import Draft

RISE_WEIGHT = 0.5
FALL_WEIGHT = 0.05


class ModelLoad(Message):
    """The load of one model.

    Attributes:
        n_busy: Smoothed number of requests that run or wait.
        capacity: Requests that its available endpoints bear at once.
        n_replicas: Available endpoints that hold it by plan.
    """

    __slots__ = ("n_busy", "capacity", "n_replicas")

    def __init__(self, n_busy: float) -> None:
        self.n_busy = n_busy
        self.capacity = 0.0
        self.n_replicas = 0

    def utilisation(self, *, less: float = 0.0) -> float:
        """Return busy over capacity, were the capacity smaller by `less`."""
        capacity = self.capacity - less
        if capacity <= 0:
            return float("inf") if self.n_busy else 0.0
        return self.n_busy / capacity


class LoadEstimate:
    """Smooth the load of each model: quick to rise, slow to fall."""

    __slots__ = ("_smoothed",)

    def __init__(self) -> None:
        self._smoothed: dict[str, float] = {}

    def update(self, situation: Situation, draft: Draft) -> dict[str, ModelLoad]:
        """Return the load of each model under a draft of the plan."""
        raw = {need.model: float(need.n_waiting) for need in situation.needs.values()}
        for candidate in situation.candidates:
            models = _known(draft.models_of(candidate.endpoint), raw)
            for model in models:
                raw[model] += candidate.n_busy / len(models)
        loads = {model: ModelLoad(self._smooth(model, raw[model])) for model in raw}
        for candidate in situation.candidates:
            models = _known(draft.models_of(candidate.endpoint), raw)
            for model in models if candidate.available else ():
                loads[model].capacity += candidate.capacity / len(models)
                loads[model].n_replicas += 1
        return loads

    def _smooth(self, model: str, value: float) -> float:
        before = self._smoothed.get(model, value)
        weight = RISE_WEIGHT if value > before else FALL_WEIGHT
        after = before + weight * (value - before)
        self._smoothed[model] = after
        return after


def _known(models: Iterable[str], raw: dict[str, float]) -> list[str]:
    return [model for model in models if model in raw]
