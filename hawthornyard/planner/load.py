"""Estimate the load of each model from the requests at endpoints and waiting."""

from collections.abc import Iterable

from ..core import Message
from .draft import Draft
from .planner_input import PlannerInput

# Weight of the newest value in the moving average of a model's requests.
RISE_EWMA_WEIGHT = 0.5
FALL_EWMA_WEIGHT = 0.05


class ModelLoad(Message):
    """The load of one model.

    Attributes:
        n_busy: Moving average of the requests that run or wait.
        capacity: Requests that its available endpoints can run at once; the
            capacity of an endpoint is divided equally among its models.
        n_replicas: Available endpoints that the plan gives it.
    """

    __slots__ = ("n_busy", "capacity", "n_replicas")

    def __init__(self, n_busy: float) -> None:
        self.n_busy = n_busy
        self.capacity = 0.0
        self.n_replicas = 0

    def utilisation(self, *, removed_capacity: float = 0.0) -> float:
        """Return the ratio of requests to capacity, 1 for fully used.

        Without capacity it is infinite, or 0 if there are no requests either.

        Args:
            removed_capacity: Requests at once to subtract from the capacity;
                negative to add them.
        """
        capacity = self.capacity - removed_capacity
        if capacity <= 0:
            return float("inf") if self.n_busy else 0.0
        return self.n_busy / capacity


class LoadEstimator:
    """Moving averages of the load of each model, fast to rise and slow to fall."""

    __slots__ = ("_smoothed",)

    def __init__(self) -> None:
        self._smoothed: dict[str, float] = {}

    def update(self, planner_input: PlannerInput, draft: Draft) -> dict[str, ModelLoad]:
        """Update the averages and return the load of each model under a draft."""
        n_busy = {
            need.model: float(need.n_waiting) for need in planner_input.needs.values()
        }
        for candidate in planner_input.candidates:
            models = _recorded(draft.models_of(candidate.endpoint), n_busy)
            for model in models:
                n_busy[model] += candidate.n_busy / len(models)
        loads = {
            model: ModelLoad(self._smooth(model, n_busy[model])) for model in n_busy
        }
        for candidate in planner_input.candidates:
            models = _recorded(draft.models_of(candidate.endpoint), n_busy)
            for model in models if candidate.is_available else ():
                loads[model].capacity += candidate.capacity / len(models)
                loads[model].n_replicas += 1
        return loads

    def _smooth(self, model: str, n_busy: float) -> float:
        earlier = self._smoothed.get(model, n_busy)
        weight = RISE_EWMA_WEIGHT if n_busy > earlier else FALL_EWMA_WEIGHT
        smoothed = earlier + weight * (n_busy - earlier)
        self._smoothed[model] = smoothed
        return smoothed


def _recorded(models: Iterable[str], n_busy: dict[str, float]) -> list[str]:
    return [model for model in models if model in n_busy]
