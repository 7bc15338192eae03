"""Decide which endpoint holds which models."""

from collections.abc import Sequence
from typing import Protocol

from ..core import Clock
from ..policy import TokenBucket
from .board import Board, SeatTest
from .demand import Seat, Situation
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
        board = Board(situation, draft, loads)
        self._seat_new(board)
        self._fill_shortages(board)
        self._relieve(board)
        self._refresh(board)
        return draft

    def _drop_retired(self, situation: Situation, draft: Draft) -> None:
        seats = {seat.endpoint: seat for seat in situation.seats}
        for endpoint in draft.endpoints():
            seat = seats.get(endpoint)
            models = draft.models_of(endpoint)
            if seat is None:
                draft.drop(endpoint, "the endpoint was retired")
            elif not set(models) <= set(seat.allowed) & set(situation.needs):
                draft.drop(endpoint, "the records no longer allow it")

    def _seat_new(self, board: Board) -> None:
        for seat in board.available():
            if board.draft.holds(seat.endpoint):
                continue
            models = board.by_need_in(seat.failure_domain, board.known(seat.allowed))
            held = [model for model in models if model in seat.loaded]
            short = [model for model in models if board.is_short(model)]
            wanted = [model for model in held if model in short] or short
            for model in (wanted or held or models)[:1]:
                self._move(board, seat, [model], "a new endpoint")

    def _fill_shortages(self, board: Board) -> None:
        for model in board.by_need(filter(board.is_short, board.loads)):
            while board.is_short(model):
                seat = board.donor(model, lambda seat, _: board.can_spare(seat))
                if seat is None:
                    self._share(board, model)
                    break
                reason = "an open model has too few replicas"
                if not self._move(board, seat, [model], reason):
                    break

    def _share(self, board: Board, model: str) -> None:
        if board.loads[model].n_replicas:
            return
        seats = [seat for seat in board.available() if model in seat.allowed]
        seats = [seat for seat in seats if board.draft.holds(seat.endpoint)]
        if seats:
            seat = min(seats, key=lambda item: len(board.models_of(item)))
            models = [*board.models_of(seat), model]
            self._move(board, seat, models, "no endpoint can be spared for it")

    def _relieve(self, board: Board) -> None:
        for _ in range(MAX_TRANSFERS):
            if not any(self._relieve_one(board, model) for model in _busy(board)):
                return

    def _relieve_one(self, board: Board, model: str) -> bool:
        seat = board.donor(model, self._is_gain(board))
        if seat is None:
            return False
        return self._move(board, seat, [model], "high utilisation")

    def _is_gain(self, board: Board) -> SeatTest:
        def is_gain(seat: Seat, model: str) -> bool:
            if not board.can_spare(seat):
                return False
            after = board.loads[model].utilisation(less=-seat.capacity)
            return board.utilisation_without(seat) <= BALANCE_RATIO * after

        return is_gain

    def _refresh(self, board: Board) -> None:
        for seat in board.available():
            if not board.draft.holds(seat.endpoint):
                continue
            if board.draft.is_outdated(seat.endpoint):
                models = board.models_of(seat)
                self._move(board, seat, models, "the records name other weights")

    def _move(
        self, board: Board, seat: Seat, models: Sequence[str], reason: str
    ) -> bool:
        if len(board.draft.moves) >= MAX_MOVES:
            return False
        n_bytes = board.bytes_to_load(seat, models)
        if n_bytes and not self._weights.is_positive():
            return False
        self._weights.charge(n_bytes)
        board.move(seat, models, reason)
        return True


def _busy(board: Board) -> list[str]:
    return [
        model
        for model in board.by_need(board.loads)
        if board.loads[model].utilisation() > HIGH_UTILISATION
    ]
