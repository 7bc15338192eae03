"""Share the limits of teams among the gateways that have demand."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, Tick
from ...frames import TeamDemand, TeamLimitShare
from ...policy import divide_fairly
from ...records import Catalog
from ..budget import PORTION_LIFETIME_S, TeamBudget, TeamBudgets
from .neighbours import Neighbours

SHARE_INTERVAL_S = 1.0
DEMAND_LIFETIME_S = 3.0


class OwnedTeam:
    """What a team's owner knows of the demand for it.

    Attributes:
        requests: Requests a second by gateway.
        tokens: Tokens a second by gateway.
        heard_at: Monotonic seconds of the last report by gateway.
    """

    __slots__ = ("heard_at", "requests", "tokens")

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}
        self.tokens: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}

    def on_demand(self, gateway: str, demand: TeamDemand, now: float) -> None:
        """Take a report over."""
        self.requests[gateway] = demand.requests_per_s
        self.tokens[gateway] = demand.tokens_per_s
        self.heard_at[gateway] = now

    def expire(self, now: float) -> None:
        """Drop the demand of gateways that reported none for a while."""
        for gateway, heard_at in list(self.heard_at.items()):
            if now - heard_at > DEMAND_LIFETIME_S:
                del self.requests[gateway]
                del self.tokens[gateway]
                del self.heard_at[gateway]


class ShareLimits:
    """Report demand to owners, divide limits as owner, apply portions.

    A gateway that hears nothing from a team's owner falls back to the
    team's limits divided by the gateways it last knew.

    Args:
        catalog: Records in force.
        budgets: Budgets of the teams at this gateway.
        neighbours: The other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_budgets",
        "_catalog",
        "_clock",
        "_neighbours",
        "_owned",
        "_shared_at",
        "handlers",
    )

    def __init__(
        self,
        catalog: Catalog,
        budgets: TeamBudgets,
        neighbours: Neighbours,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._budgets = budgets
        self._neighbours = neighbours
        self._clock = clock
        self._owned: dict[str, OwnedTeam] = {}
        self._shared_at = clock.now()
        self.handlers: Handlers = {
            Tick: self._on_tick,
            TeamDemand: self._on_demand,
            TeamLimitShare: self._on_portion,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        seconds = msg.now - self._shared_at
        if seconds < SHARE_INTERVAL_S:
            return
        self._shared_at = msg.now
        self._budgets.n_gateways = self._neighbours.n_known()
        for budget in self._budgets:
            yield from self._report(budget, seconds, msg.now)
        self._drop_idle_owned(msg.now)

    def _report(
        self, budget: TeamBudget, seconds: float, now: float
    ) -> Iterator[Message]:
        budget.close_interval(seconds)
        team = budget.team.name
        if budget.is_idle:
            self._budgets.forget(team)
            return
        if budget.portion_at is not None:
            if now - budget.portion_at > PORTION_LIFETIME_S:
                self._budgets.fall_back(budget)
        demand = TeamDemand(team, budget.requests_demand, budget.tokens_demand)
        owner = self._neighbours.owner(team)
        if owner != self._neighbours.name:
            yield demand.with_peer(owner)
            return
        yield from self._divide(self._neighbours.name, demand, now)

    def _on_demand(self, msg: TeamDemand) -> Iterator[Message]:
        yield from self._divide(msg.peer, msg, self._clock.now())

    def _divide(
        self, gateway: str, demand: TeamDemand, now: float
    ) -> Iterator[Message]:
        team = self._catalog.team(demand.team)
        if team is None:
            return
        owned = self._owned.setdefault(demand.team, OwnedTeam())
        owned.on_demand(gateway, demand, now)
        owned.expire(now)
        share = self._neighbours.share()
        requests = divide_fairly(team.requests_per_s * share, owned.requests)[gateway]
        tokens = divide_fairly(team.tokens_per_s * share, owned.tokens)[gateway]
        if gateway == self._neighbours.name:
            self._apply(demand.team, requests, tokens)
            return
        yield TeamLimitShare(demand.team, requests, tokens).with_peer(gateway)

    def _on_portion(self, msg: TeamLimitShare) -> Iterator[Message]:
        self._apply(msg.team, msg.requests_per_s, msg.tokens_per_s)
        yield from ()

    def _apply(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        budget = self._budgets.get(team)
        if budget is not None:
            budget.set_portion(requests_per_s, tokens_per_s, self._clock.now())

    def _drop_idle_owned(self, now: float) -> None:
        for name, owned in list(self._owned.items()):
            owned.expire(now)
            if not owned.heard_at:
                del self._owned[name]
