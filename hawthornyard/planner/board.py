"""Keep the load of each model up to date while a plan is drafted."""

from collections.abc import Callable, Iterable, Sequence

from .demand import ModelNeed, Seat, Situation
from .draft import Draft
from .load import ModelLoad

IDLE_REQUESTS = 0.05
MIN_OPEN_REPLICAS = 2
UNKNOWN_WEIGHT_BYTES = 10_000_000_000

SeatTest = Callable[[Seat, str], bool]


class Board:
    """The situation, the draft and the loads under it.

    Args:
        situation: What is planned for.
        draft: The plan that is being decided.
        loads: Load of each model under the draft.
    """

    __slots__ = ("_domains", "_n_open_replicas", "_needs", "_seats", "draft", "loads")

    def __init__(
        self, situation: Situation, draft: Draft, loads: dict[str, ModelLoad]
    ) -> None:
        self._needs = situation.needs
        self._seats = [seat for seat in situation.seats if seat.available]
        self.draft = draft
        self.loads = loads
        n_open = sum(need.is_open for need in self._needs.values())
        plenty = len(self._seats) >= MIN_OPEN_REPLICAS * n_open
        self._n_open_replicas = MIN_OPEN_REPLICAS if plenty else 1
        self._domains: dict[str, dict[str, int]] = {model: {} for model in loads}
        for seat in self._seats:
            self._count(seat, 1)

    def available(self) -> Sequence[Seat]:
        """Return the endpoints that can be planned with."""
        return self._seats

    def known(self, models: Iterable[str]) -> list[str]:
        """Return those models that have a record."""
        return [model for model in models if model in self._needs]

    def models_of(self, seat: Seat) -> Sequence[str]:
        """Return the models that an endpoint holds under the draft."""
        return self.draft.models_of(seat.endpoint)

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

    def can_spare(self, seat: Seat) -> bool:
        """Return whether all models of an endpoint can do without it."""
        return all(
            self.loads[model].n_replicas > self.least_replicas(model)
            for model in self.models_of(seat)
        )

    def utilisation_without(self, seat: Seat) -> float:
        """Return the highest utilisation of an endpoint's models without it."""
        models = self.models_of(seat)
        return max(
            (
                self.loads[model].utilisation(less=seat.capacity / len(models))
                for model in models
            ),
            default=0.0,
        )

    def donor(self, model: str, test: SeatTest) -> Seat | None:
        """Return the endpoint that is best given to a model, if any may be.

        Args:
            model: The model that needs one.
            test: Whether an endpoint may be given to the model.
        """
        fitting = [
            seat
            for seat in self._seats
            if model in seat.allowed
            and self.draft.holds(seat.endpoint)
            and model not in self.models_of(seat)
            and test(seat, model)
        ]
        return min(fitting, key=lambda seat: self._cost(seat, model), default=None)

    def bytes_to_load(self, seat: Seat, models: Sequence[str]) -> int:
        """Return the bytes of weights that a move makes an endpoint load."""
        held = set(seat.loaded) if models != self.models_of(seat) else set()
        return sum(_size(self._needs[model]) for model in models if model not in held)

    def move(self, seat: Seat, models: Sequence[str], reason: str) -> None:
        """Give an endpoint other models and follow the loads."""
        self._count(seat, -1)
        self._account(seat, -1)
        self.draft.move(seat.endpoint, models, reason)
        self._account(seat, 1)
        self._count(seat, 1)

    def _account(self, seat: Seat, sign: int) -> None:
        models = self.models_of(seat)
        for model in models:
            self.loads[model].capacity += sign * seat.capacity / len(models)
            self.loads[model].n_replicas += sign

    def _count(self, seat: Seat, sign: int) -> None:
        for model in self.models_of(seat):
            counts = self._domains[model]
            domain = seat.failure_domain
            counts[domain] = counts.get(domain, 0) + sign

    def _need_key(self, model: str) -> tuple[bool, float, int, str]:
        load = self.loads[model]
        return (
            not self.is_short(model),
            -load.utilisation(),
            load.n_replicas,
            model,
        )

    def _cost(self, seat: Seat, model: str) -> tuple[bool, int, float, int, str]:
        return (
            model not in seat.loaded,
            self._domains[model].get(seat.failure_domain, 0),
            self.utilisation_without(seat),
            seat.n_busy,
            seat.endpoint,
        )


def _size(need: ModelNeed) -> int:
    return need.weight_bytes or UNKNOWN_WEIGHT_BYTES
