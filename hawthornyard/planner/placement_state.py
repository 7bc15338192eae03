"""Track the load and the replicas of each model while a plan is drafted."""

from collections.abc import Callable, Iterable, Sequence

from .draft import Draft
from .load import ModelLoad
from .planner_input import Candidate, ModelNeed, PlannerInput

# Moving average of requests up to which a closed model needs no replica.
IDLE_MAX_REQUESTS = 0.05
OPEN_MODEL_REPLICAS = 2
# Stands in for the size of weights whose record gives none.
ASSUMED_WEIGHT_BYTES = 10_000_000_000

DonorTest = Callable[[Candidate, str], bool]


class PlacementState:
    """The draft of a plan, with the loads and replicas that follow from it.

    An open model needs `OPEN_MODEL_REPLICAS` replicas, or one while there are
    too few endpoints for that.

    Args:
        planner_input: Endpoints and models to plan for.
        draft: The draft, which `move` changes.
        loads: Load of each model under the draft, which `move` updates.
    """

    __slots__ = (
        "_replicas_by_domain",
        "_min_open_replicas",
        "_needs",
        "_candidates",
        "draft",
        "loads",
    )

    def __init__(
        self, planner_input: PlannerInput, draft: Draft, loads: dict[str, ModelLoad]
    ) -> None:
        self._needs = planner_input.needs
        self._candidates = [
            candidate
            for candidate in planner_input.candidates
            if candidate.is_available
        ]
        self.draft = draft
        self.loads = loads
        n_open_models = sum(need.is_open for need in self._needs.values())
        has_enough_endpoints = (
            len(self._candidates) >= OPEN_MODEL_REPLICAS * n_open_models
        )
        self._min_open_replicas = OPEN_MODEL_REPLICAS if has_enough_endpoints else 1
        self._replicas_by_domain: dict[str, dict[str, int]] = {
            model: {} for model in loads
        }
        for candidate in self._candidates:
            self._update_domain_counts(candidate, 1)

    def available_candidates(self) -> Sequence[Candidate]:
        """Return the endpoints that are available for the plan."""
        return self._candidates

    def recorded(self, models: Iterable[str]) -> list[str]:
        """Return those of the models that have a record."""
        return [model for model in models if model in self._needs]

    def models_of(self, candidate: Candidate) -> Sequence[str]:
        """Return the models that an endpoint holds under the draft."""
        return self.draft.models_of(candidate.endpoint)

    def min_replicas(self, model: str) -> int:
        """Return the smallest number of replicas that a model may have."""
        if self._needs[model].is_open:
            return self._min_open_replicas
        return 1 if self.loads[model].n_busy > IDLE_MAX_REQUESTS else 0

    def lacks_replicas(self, model: str) -> bool:
        """Return whether a model has too few replicas."""
        return self.loads[model].n_replicas < self.min_replicas(model)

    def sort_by_need(self, models: Iterable[str]) -> list[str]:
        """Return models sorted by their need of another endpoint, highest first."""
        return sorted(models, key=self._need_key)

    def sort_by_need_in_domain(self, domain: str, models: Iterable[str]) -> list[str]:
        """Return models, fewest replicas in a failure domain first, then by need."""
        counts = self._replicas_by_domain
        return sorted(
            self.sort_by_need(models), key=lambda model: counts[model].get(domain, 0)
        )

    def can_spare(self, candidate: Candidate) -> bool:
        """Return whether all models of an endpoint have replicas to spare."""
        return all(
            self.loads[model].n_replicas > self.min_replicas(model)
            for model in self.models_of(candidate)
        )

    def utilisation_without(self, candidate: Candidate) -> float:
        """Return the highest utilisation among an endpoint's models without it.

        It is 0 if the endpoint holds no models.
        """
        models = self.models_of(candidate)
        return max(
            (
                self.loads[model].utilisation(
                    removed_capacity=candidate.capacity / len(models)
                )
                for model in models
            ),
            default=0.0,
        )

    def best_donor(self, model: str, test: DonorTest) -> Candidate | None:
        """Return the endpoint that is cheapest to give to a model.

        None if no endpoint of the draft may hold the model and passes the test.
        An endpoint that has the model loaded comes first, then one in a failure
        domain with few replicas of it, then one whose models need it least.

        Args:
            model: Model that needs an endpoint.
            test: Tells whether an endpoint may be given to the model.
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
            fitting,
            key=lambda candidate: self._donor_key(candidate, model),
            default=None,
        )

    def bytes_to_load(self, candidate: Candidate, models: Sequence[str]) -> int:
        """Return the bytes of weights that an endpoint would load for these models.

        If its models stay the same, it loads all of them again, in other versions.
        """
        loaded = set(candidate.loaded) if models != self.models_of(candidate) else set()
        return sum(
            _weight_bytes(self._needs[model]) for model in models if model not in loaded
        )

    def move(self, candidate: Candidate, models: Sequence[str], reason: str) -> None:
        """Give an endpoint other models, and update the loads and replicas."""
        self._update_domain_counts(candidate, -1)
        self._update_loads(candidate, -1)
        self.draft.move(candidate.endpoint, models, reason)
        self._update_loads(candidate, 1)
        self._update_domain_counts(candidate, 1)

    def _update_loads(self, candidate: Candidate, sign: int) -> None:
        models = self.models_of(candidate)
        for model in models:
            self.loads[model].capacity += sign * candidate.capacity / len(models)
            self.loads[model].n_replicas += sign

    def _update_domain_counts(self, candidate: Candidate, sign: int) -> None:
        for model in self.models_of(candidate):
            counts = self._replicas_by_domain[model]
            domain = candidate.failure_domain
            counts[domain] = counts.get(domain, 0) + sign

    def _need_key(self, model: str) -> tuple[bool, float, int, str]:
        load = self.loads[model]
        return (
            not self.lacks_replicas(model),
            -load.utilisation(),
            load.n_replicas,
            model,
        )

    def _donor_key(
        self, candidate: Candidate, model: str
    ) -> tuple[bool, int, float, int, str]:
        return (
            model not in candidate.loaded,
            self._replicas_by_domain[model].get(candidate.failure_domain, 0),
            self.utilisation_without(candidate),
            candidate.n_busy,
            candidate.endpoint,
        )


def _weight_bytes(need: ModelNeed) -> int:
    return need.weight_bytes or ASSUMED_WEIGHT_BYTES
