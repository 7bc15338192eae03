"""Keep the load of each model up to date while a plan is drafted."""

from collections.abc import Callable, Iterable, Sequence

from .demand import Candidate, ModelNeed, Situation
from .draft import Draft
from .load import ModelLoad

IDLE_REQUESTS = 0.05
MIN_OPEN_REPLICAS = 2
UNKNOWN_WEIGHT_BYTES = 10_000_000_000

CandidateTest = Callable[[Candidate, str], bool]


class Balance:
    """The situation, the draft and the loads under it.

    Args:
        situation: What is planned for.
        draft: The plan that is being decided.
        loads: Load of each model under the draft.
    """

    __slots__ = (
        "_domains",
        "_n_open_replicas",
        "_needs",
        "_candidates",
        "draft",
        "loads",
    )

    def __init__(
        self, situation: Situation, draft: Draft, loads: dict[str, ModelLoad]
    ) -> None:
        self._needs = situation.needs
        self._candidates = [
            candidate for candidate in situation.candidates if candidate.available
        ]
        self.draft = draft
        self.loads = loads
        n_open = sum(need.is_open for need in self._needs.values())
        plenty = len(self._candidates) >= MIN_OPEN_REPLICAS * n_open
        self._n_open_replicas = MIN_OPEN_REPLICAS if plenty else 1
        self._domains: dict[str, dict[str, int]] = {model: {} for model in loads}
        for candidate in self._candidates:
            self._count(candidate, 1)

    def available(self) -> Sequence[Candidate]:
        """Return the endpoints that can be planned with."""
        return self._candidates

    def known(self, models: Iterable[str]) -> list[str]:
        """Return those models that have a record."""
        return [model for model in models if model in self._needs]

    def models_of(self, candidate: Candidate) -> Sequence[str]:
        """Return the models that an endpoint holds under the draft."""
        return self.draft.models_of(candidate.endpoint)

    def least_replicas(self, model: str) -> int:
        """Return how many replicas a model keeps at least."""
        if self._needs[model].is_open:
            return self._n_open_replicas
        return 1 if self.loads[model].n_busy > IDLE_REQUESTS else 0

    def is_short(self, model: str) -> bool:
        """Return whether a model has too few replicas."""
        return self.loads[model].n_replicas < self.least_replicas(model)

    def by_need(self, models: Iterable[str]) -> list[str]:
        """Return models with the one first that needs an endpoint most."""
        return sorted(models, key=self._need_key)

    def by_need_in(self, domain: str, models: Iterable[str]) -> list[str]:
        """Return models by need, those first that a failure domain lacks."""
        counts = self._domains
        return sorted(
            self.by_need(models), key=lambda model: counts[model].get(domain, 0)
        )

    def can_spare(self, candidate: Candidate) -> bool:
        """Return whether all models of an endpoint can do without it."""
        return all(
            self.loads[model].n_replicas > self.least_replicas(model)
            for model in self.models_of(candidate)
        )

    def utilisation_without(self, candidate: Candidate) -> float:
        """Return the highest utilisation of an endpoint's models without it."""
        models = self.models_of(candidate)
        return max(
            (
                self.loads[model].utilisation(less=candidate.capacity / len(models))
                for model in models
            ),
            default=0.0,
        )

    def donor(self, model: str, test: CandidateTest) -> Candidate | None:
        """Return the endpoint that is best given to a model, if any may be.

        Args:
            model: The model that needs one.
            test: Whether an endpoint may be given to the model.
        """
        fitting = [
            candidate
            for candidate in self._candidates
            if model in candidate.allowed
            and self.draft.holds(candidate.endpoint)
            and model not in self.models_of(candidate)
            and test(candidate, model)
        ]
        return min(
            fitting, key=lambda candidate: self._cost(candidate, model), default=None
        )

    def bytes_to_load(self, candidate: Candidate, models: Sequence[str]) -> int:
        """Return the bytes of weights that a move makes an endpoint load."""
        held = set(candidate.loaded) if models != self.models_of(candidate) else set()
        return sum(_size(self._needs[model]) for model in models if model not in held)

    def move(self, candidate: Candidate, models: Sequence[str], reason: str) -> None:
        """Give an endpoint other models and follow the loads."""
        self._count(candidate, -1)
        self._account(candidate, -1)
        self.draft.move(candidate.endpoint, models, reason)
        self._account(candidate, 1)
        self._count(candidate, 1)

    def _account(self, candidate: Candidate, sign: int) -> None:
        models = self.models_of(candidate)
        for model in models:
            self.loads[model].capacity += sign * candidate.capacity / len(models)
            self.loads[model].n_replicas += sign

    def _count(self, candidate: Candidate, sign: int) -> None:
        for model in self.models_of(candidate):
            counts = self._domains[model]
            domain = candidate.failure_domain
            counts[domain] = counts.get(domain, 0) + sign

    def _need_key(self, model: str) -> tuple[bool, float, int, str]:
        load = self.loads[model]
        return (
            not self.is_short(model),
            -load.utilisation(),
            load.n_replicas,
            model,
        )

    def _cost(
        self, candidate: Candidate, model: str
    ) -> tuple[bool, int, float, int, str]:
        return (
            model not in candidate.loaded,
            self._domains[model].get(candidate.failure_domain, 0),
            self.utilisation_without(candidate),
            candidate.n_busy,
            candidate.endpoint,
        )


def _size(need: ModelNeed) -> int:
    return need.weight_bytes or UNKNOWN_WEIGHT_BYTES
