"""Decide which endpoint holds which models."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Clock
from ..policy import TokenBucket
from .balance import Balance, CandidateTest
from .demand import Candidate, Situation
from .draft import Draft
from .load import LoadEstimate
from .plan import Plan

HIGH_UTILISATION = 0.85
BALANCE_RATIO = 0.75
MAX_MOVES = 16
# The search for each takes a while in the loop that relays tokens.
MAX_TRANSFERS = 4
DEFAULT_WEIGHT_BYTES_PER_S = 2e9


class PlacementPolicy(Protocol):
    """Decide on a plan."""

    def place(self, situation: Situation, plan: Plan | None) -> Draft:
        """Return a draft of the next plan; without moves if none is needed."""
        ...


class FollowDemand:
    """Move few endpoints, and only for a clear gain.

    An open model keeps a least number of replicas in different failure
    domains. Beyond that, a model over a high utilisation gets an endpoint from
    one that stays clearly less utilised without it. Those bounds lie apart and
    a falling load is believed slowly, so that a plan does not swing. An endpoint
    that nobody else needs keeps what it holds. Loads of weights are begun no
    faster than the weight store gives them.

    Args:
        clock: Source of time.
        weight_bytes_per_s: Rate of the weight store for all endpoints together.
    """

    __slots__ = ("_clock", "_estimate", "_weights")

    def __init__(
        self, clock: Clock, *, weight_bytes_per_s: float = DEFAULT_WEIGHT_BYTES_PER_S
    ) -> None:
        self._clock = clock
        self._estimate = LoadEstimate()
        self._weights = TokenBucket(weight_bytes_per_s, clock)

    def place(self, situation: Situation, plan: Plan | None) -> Draft:
        """Return a draft of the next plan; see `PlacementPolicy.place`."""
        draft = Draft(plan, situation.needs)
        self._drop_retired(situation, draft)
        loads = self._estimate.update(situation, draft)
        balance = Balance(situation, draft, loads)
        self._place_new(balance)
        self._fill_shortages(balance)
        self._relieve(balance)
        self._refresh(balance)
        return draft

    def _drop_retired(self, situation: Situation, draft: Draft) -> None:
        candidates = {
            candidate.endpoint: candidate for candidate in situation.candidates
        }
        for endpoint in draft.endpoints():
            candidate = candidates.get(endpoint)
            models = draft.models_of(endpoint)
            if candidate is None:
                draft.drop(endpoint, "the endpoint was retired")
            elif not set(models) <= set(candidate.allowed) & set(situation.needs):
                draft.drop(endpoint, "the records no longer allow it")

    def _place_new(self, balance: Balance) -> None:
        for candidate in balance.available():
            if balance.draft.holds(candidate.endpoint):
                continue
            models = balance.by_need_in(
                candidate.failure_domain, balance.known(candidate.allowed)
            )
            held = [model for model in models if model in candidate.loaded]
            short = [model for model in models if balance.is_short(model)]
            wanted = [model for model in held if model in short] or short
            for model in (wanted or held or models)[:1]:
                self._move(balance, candidate, [model], "a new endpoint")

    def _fill_shortages(self, balance: Balance) -> None:
        for model in balance.by_need(filter(balance.is_short, balance.loads)):
            while balance.is_short(model):
                candidate = balance.donor(
                    model, lambda candidate, _: balance.can_spare(candidate)
                )
                if candidate is None:
                    self._share(balance, model)
                    break
                reason = "an open model has too few replicas"
                if not self._move(balance, candidate, [model], reason):
                    break

    def _share(self, balance: Balance, model: str) -> None:
        if balance.loads[model].n_replicas:
            return
        candidates = [
            candidate for candidate in balance.available() if model in candidate.allowed
        ]
        candidates = [
            candidate
            for candidate in candidates
            if balance.draft.holds(candidate.endpoint)
        ]
        if candidates:
            candidate = min(candidates, key=lambda item: len(balance.models_of(item)))
            models = [*balance.models_of(candidate), model]
            self._move(balance, candidate, models, "no endpoint can be spared for it")

    def _relieve(self, balance: Balance) -> None:
        for _ in range(MAX_TRANSFERS):
            if not any(self._relieve_one(balance, model) for model in _busy(balance)):
                return

    def _relieve_one(self, balance: Balance, model: str) -> bool:
        candidate = balance.donor(model, self._is_gain(balance))
        if candidate is None:
            return False
        return self._move(balance, candidate, [model], "high utilisation")

    def _is_gain(self, balance: Balance) -> CandidateTest:
        def is_gain(candidate: Candidate, model: str) -> bool:
            if not balance.can_spare(candidate):
                return False
            after = balance.loads[model].utilisation(less=-candidate.capacity)
            return balance.utilisation_without(candidate) <= BALANCE_RATIO * after

        return is_gain

    def _refresh(self, balance: Balance) -> None:
        for candidate in balance.available():
            if not balance.draft.holds(candidate.endpoint):
                continue
            if balance.draft.is_outdated(candidate.endpoint):
                models = balance.models_of(candidate)
                self._move(balance, candidate, models, "the records name other weights")

    def _move(
        self, balance: Balance, candidate: Candidate, models: Sequence[str], reason: str
    ) -> bool:
        if len(balance.draft.moves) >= MAX_MOVES:
            return False
        n_bytes = balance.bytes_to_load(candidate, models)
        if n_bytes and not self._weights.has_credit():
            return False
        self._weights.charge(n_bytes)
        balance.move(candidate, models, reason)
        return True


def _busy(balance: Balance) -> list[str]:
    return [
        model
        for model in balance.by_need(balance.loads)
        if balance.loads[model].utilisation() > HIGH_UTILISATION
    ]
