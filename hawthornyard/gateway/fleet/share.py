"""Divide the limits of teams among the gateways by demand."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, Tick
from ...frames import TeamDemand, TeamLimitShare
from ...policy import divide_fairly
from ...records import Catalog
from ..budget import LIMIT_SHARE_LIFETIME_S, TeamBudget, TeamBudgets
from .peer_gateways import PeerGateways

SHARE_INTERVAL_S = 1.0
DEMAND_LIFETIME_S = 3.0


class DemandByGateway:
    """Demand of one team at each gateway, as reported to the team's owner.

    Attributes:
        requests: Requests per second, by gateway.
        tokens: Tokens per second, by gateway.
        heard_at: Monotonic seconds of the last report, by gateway.
    """

    __slots__ = ("heard_at", "requests", "tokens")

    def __init__(self) -> None:
        self.requests: dict[str, float] = {}
        self.tokens: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}

    def on_report(self, gateway: str, demand: TeamDemand, now: float) -> None:
        """Store a gateway's report."""
        self.requests[gateway] = demand.requests_per_s
        self.tokens[gateway] = demand.tokens_per_s
        self.heard_at[gateway] = now

    def expire(self, now: float) -> None:
        """Drop the demand of gateways without a recent report."""
        for gateway, heard_at in list(self.heard_at.items()):
            if now - heard_at > DEMAND_LIFETIME_S:
                del self.requests[gateway]
                del self.tokens[gateway]
                del self.heard_at[gateway]


class ShareLimits:
    """Report demand to owners, divide limits as owner and apply shares.

    Each team is owned by one live gateway, which divides the team's limits. If the
    last share from the owner expires, a gateway falls back to the team's limits
    divided by the number of known gateways.

    Args:
        catalog: Records in force.
        budgets: Budgets of the teams at this gateway.
        peer_gateways: Determines the owner of each team.
        clock: Monotonic clock.
    """

    __slots__ = (
        "_budgets",
        "_catalog",
        "_clock",
        "_peer_gateways",
        "_shared_at",
        "_team_demands",
        "handlers",
    )

    def __init__(
        self,
        catalog: Catalog,
        budgets: TeamBudgets,
        peer_gateways: PeerGateways,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._budgets = budgets
        self._peer_gateways = peer_gateways
        self._clock = clock
        self._team_demands: dict[str, DemandByGateway] = {}
        self._shared_at = clock.now()
        self.handlers: Handlers = {
            Tick: self._on_tick,
            TeamDemand: self._on_team_demand,
            TeamLimitShare: self._on_team_limit_share,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        seconds = msg.now - self._shared_at
        if seconds < SHARE_INTERVAL_S:
            return
        self._shared_at = msg.now
        self._budgets.n_gateways = self._peer_gateways.n_known()
        for budget in self._budgets:
            yield from self._report(budget, seconds, msg.now)
        self._drop_idle_teams(msg.now)

    def _report(
        self, budget: TeamBudget, seconds: float, now: float
    ) -> Iterator[Message]:
        budget.update_demand(seconds)
        team = budget.team.name
        if budget.is_idle:
            self._budgets.forget(team)
            return
        if budget.limit_share_at is not None:
            if now - budget.limit_share_at > LIMIT_SHARE_LIFETIME_S:
                self._budgets.apply_even_share(budget)
        demand = TeamDemand(team, budget.requests_demand, budget.tokens_demand)
        owner = self._peer_gateways.owner(team)
        if owner != self._peer_gateways.name:
            yield demand.with_peer(owner)
            return
        yield from self._divide(self._peer_gateways.name, demand, now)

    def _on_team_demand(self, msg: TeamDemand) -> Iterator[Message]:
        yield from self._divide(msg.peer, msg, self._clock.now())

    def _divide(
        self, gateway: str, demand: TeamDemand, now: float
    ) -> Iterator[Message]:
        team = self._catalog.team(demand.team)
        if team is None:
            return
        team_demand = self._team_demands.setdefault(demand.team, DemandByGateway())
        team_demand.on_report(gateway, demand, now)
        team_demand.expire(now)
        share = self._peer_gateways.divisible_share()
        requests = divide_fairly(team.requests_per_s * share, team_demand.requests)[
            gateway
        ]
        tokens = divide_fairly(team.tokens_per_s * share, team_demand.tokens)[gateway]
        if gateway == self._peer_gateways.name:
            self._apply(demand.team, requests, tokens)
            return
        yield TeamLimitShare(demand.team, requests, tokens).with_peer(gateway)

    def _on_team_limit_share(self, msg: TeamLimitShare) -> Iterator[Message]:
        self._apply(msg.team, msg.requests_per_s, msg.tokens_per_s)
        yield from ()

    def _apply(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        budget = self._budgets.get(team)
        if budget is not None:
            budget.set_limit_share(requests_per_s, tokens_per_s, self._clock.now())

    def _drop_idle_teams(self, now: float) -> None:
        for name, team_demand in list(self._team_demands.items()):
            team_demand.expire(now)
            if not team_demand.heard_at:
                del self._team_demands[name]
