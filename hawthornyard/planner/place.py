"""Decide which endpoint holds which models."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Clock
from ..policy import TokenBucket
from .draft import Draft
from .load import LoadEstimator
from .placement_state import DonorTest, PlacementState
from .plan import Plan
from .planner_input import Candidate, PlannerInput

# Ratio of requests to capacity above which a model gets another endpoint.
HIGH_UTILISATION = 0.85
# Maximum ratio of the utilisation of the donor's models to that of the receiving
# model, both after the move.
MAX_DONOR_UTILISATION_RATIO = 0.75
MAX_MOVES_PER_PLAN = 16
# Each relief searches the endpoints, which delays tokens that the same loop relays.
MAX_RELIEFS_PER_PLAN = 4
DEFAULT_WEIGHT_BYTES_PER_S = 2e9


class PlacementPolicy(Protocol):
    """A policy that decides on plans."""

    def place(self, planner_input: PlannerInput, plan: Plan | None) -> Draft:
        """Return a draft of the next plan, without moves if none is needed.

        Args:
            planner_input: Endpoints and models to plan for.
            plan: The plan in force, None before the first.
        """
        ...


class DemandDrivenPlacement:
    """A greedy placement that moves endpoints only for a clear gain.

    An open model keeps a minimum of replicas, in different failure domains if
    possible. Beyond that, a model above `HIGH_UTILISATION` gets an endpoint from
    models that stay clearly less utilised without it. The gap between these
    bounds and the slow decay of the load estimate prevent oscillation. An
    endpoint that no other model needs keeps its models. Loads of weights are
    ordered no faster than the weight store delivers them.

    Args:
        clock: Source of time.
        weight_bytes_per_s: Bytes per second that the weight store delivers to
            all endpoints together.
    """

    __slots__ = ("_clock", "_load_estimator", "_weight_store_budget")

    def __init__(
        self, clock: Clock, *, weight_bytes_per_s: float = DEFAULT_WEIGHT_BYTES_PER_S
    ) -> None:
        self._clock = clock
        self._load_estimator = LoadEstimator()
        self._weight_store_budget = TokenBucket(weight_bytes_per_s, clock)

    def place(self, planner_input: PlannerInput, plan: Plan | None) -> Draft:
        """Return a draft of the next plan; see `PlacementPolicy.place`."""
        draft = Draft(plan, planner_input.needs)
        self._drop_retired(planner_input, draft)
        loads = self._load_estimator.update(planner_input, draft)
        state = PlacementState(planner_input, draft, loads)
        self._place_new_endpoints(state)
        self._fill_shortages(state)
        self._relieve_overloaded(state)
        self._update_weights(state)
        return draft

    def _drop_retired(self, planner_input: PlannerInput, draft: Draft) -> None:
        candidates = {
            candidate.endpoint: candidate for candidate in planner_input.candidates
        }
        for endpoint in draft.endpoints():
            candidate = candidates.get(endpoint)
            models = draft.models_of(endpoint)
            if candidate is None:
                draft.drop(endpoint, "the endpoint was retired")
            elif not set(models) <= set(candidate.allowed) & set(planner_input.needs):
                draft.drop(endpoint, "the records no longer allow its models")

    def _place_new_endpoints(self, state: PlacementState) -> None:
        for candidate in state.available_candidates():
            if state.draft.holds(candidate.endpoint):
                continue
            models = state.sort_by_need_in_domain(
                candidate.failure_domain, state.recorded(candidate.allowed)
            )
            loaded = [model for model in models if model in candidate.loaded]
            lacking = [model for model in models if state.lacks_replicas(model)]
            preferred = [model for model in loaded if model in lacking] or lacking
            for model in (preferred or loaded or models)[:1]:
                self._move(state, candidate, [model], "the endpoint is new to the plan")

    def _fill_shortages(self, state: PlacementState) -> None:
        for model in state.sort_by_need(filter(state.lacks_replicas, state.loads)):
            while state.lacks_replicas(model):
                candidate = state.best_donor(
                    model, lambda candidate, _: state.can_spare(candidate)
                )
                if candidate is None:
                    self._colocate(state, model)
                    break
                reason = "a model has too few replicas"
                if not self._move(state, candidate, [model], reason):
                    break

    def _colocate(self, state: PlacementState, model: str) -> None:
        if state.loads[model].n_replicas:
            return
        candidates = [
            candidate
            for candidate in state.available_candidates()
            if model in candidate.allowed
        ]
        candidates = [
            candidate
            for candidate in candidates
            if state.draft.holds(candidate.endpoint)
        ]
        if candidates:
            candidate = min(candidates, key=lambda item: len(state.models_of(item)))
            models = [*state.models_of(candidate), model]
            self._move(
                state, candidate, models, "no endpoint can be spared for the model"
            )

    def _relieve_overloaded(self, state: PlacementState) -> None:
        for _ in range(MAX_RELIEFS_PER_PLAN):
            if not any(
                self._relieve_model(state, model) for model in _overloaded_models(state)
            ):
                return

    def _relieve_model(self, state: PlacementState, model: str) -> bool:
        candidate = state.best_donor(model, self._gain_test(state))
        if candidate is None:
            return False
        return self._move(state, candidate, [model], "high utilisation")

    def _gain_test(self, state: PlacementState) -> DonorTest:
        def is_gain(candidate: Candidate, model: str) -> bool:
            if not state.can_spare(candidate):
                return False
            utilisation_after = state.loads[model].utilisation(
                removed_capacity=-candidate.capacity
            )
            return (
                state.utilisation_without(candidate)
                <= MAX_DONOR_UTILISATION_RATIO * utilisation_after
            )

        return is_gain

    def _update_weights(self, state: PlacementState) -> None:
        for candidate in state.available_candidates():
            if not state.draft.holds(candidate.endpoint):
                continue
            if state.draft.is_outdated(candidate.endpoint):
                models = state.models_of(candidate)
                self._move(state, candidate, models, "the records name other weights")

    def _move(
        self,
        state: PlacementState,
        candidate: Candidate,
        models: Sequence[str],
        reason: str,
    ) -> bool:
        if len(state.draft.moves) >= MAX_MOVES_PER_PLAN:
            return False
        n_bytes = state.bytes_to_load(candidate, models)
        if n_bytes and not self._weight_store_budget.has_credit():
            return False
        self._weight_store_budget.charge(n_bytes)
        state.move(candidate, models, reason)
        return True


def _overloaded_models(state: PlacementState) -> list[str]:
    return [
        model
        for model in state.sort_by_need(state.loads)
        if state.loads[model].utilisation() > HIGH_UTILISATION
    ]
