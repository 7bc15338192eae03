"""Enforce and measure each team's request and token rates at this gateway."""

from collections.abc import Iterator

from ..core import Clock
from ..policy import TokenBucket
from ..records import Team

# Weight of the newest interval in the moving average of the demand.
DEMAND_SMOOTHING = 0.5
IDLE_DEMAND_PER_S = 0.01
LIMIT_SHARE_LIFETIME_S = 5.0
BURST_S = 1.0


class TeamBudget:
    """Budget of one team at this gateway.

    Attributes:
        team: Record of the team.
        requests: Token bucket of requests.
        tokens: Token bucket of output tokens.
        requests_demand: Moving average of arriving requests per second, refused ones
            included.
        tokens_demand: Moving average of the output tokens per second that the arriving
            requests would use.
        limit_share_at: Monotonic seconds when the team's owner last set the share, None
            while the even share applies.
    """

    __slots__ = (
        "_n_requests",
        "_n_refused",
        "_n_tokens",
        "limit_share_at",
        "requests",
        "requests_demand",
        "team",
        "tokens",
        "tokens_demand",
    )

    def __init__(self, team: Team, n_gateways: int, clock: Clock) -> None:
        self.team = team
        requests_per_s = team.requests_per_s / n_gateways
        tokens_per_s = team.tokens_per_s / n_gateways
        self.requests = TokenBucket(requests_per_s, clock, burst_s=BURST_S)
        self.tokens = TokenBucket(tokens_per_s, clock, burst_s=BURST_S)
        self.requests_demand = 0.0
        self.tokens_demand = 0.0
        self.limit_share_at: float | None = None
        self._n_requests = 0
        self._n_refused = 0
        self._n_tokens = 0

    def admit(self) -> bool:
        """Count a request and return whether it is within the team's share."""
        self._n_requests += 1
        if self.tokens.has_credit() and self.requests.take():
            return True
        self._n_refused += 1
        return False

    def charge_tokens(self, n_tokens: int) -> None:
        """Charge output tokens; the bucket may become negative."""
        self._n_tokens += n_tokens
        self.tokens.charge(n_tokens)

    def update_demand(self, seconds: float) -> None:
        """Update the moving averages of the demand with the counts since the last call.

        Args:
            seconds: Seconds since the last call.
        """
        n_admitted = self._n_requests - self._n_refused
        # Assume that refused requests would have used as many tokens as admitted ones.
        scale = self._n_requests / n_admitted if n_admitted else 1.0
        requests = self._n_requests / seconds
        tokens = self._n_tokens * scale / seconds
        self.requests_demand += DEMAND_SMOOTHING * (requests - self.requests_demand)
        self.tokens_demand += DEMAND_SMOOTHING * (tokens - self.tokens_demand)
        self._n_requests = self._n_refused = self._n_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Return whether the team has no demand here and no token debt."""
        demand = max(self.requests_demand, self.tokens_demand)
        return demand < IDLE_DEMAND_PER_S and self.tokens.has_credit()

    def set_limit_share(
        self, requests_per_s: float, tokens_per_s: float, now: float
    ) -> None:
        """Apply the share set by the team's owner, the gateway that divides its limits.

        Args:
            requests_per_s: Requests per second for this gateway.
            tokens_per_s: Output tokens per second for this gateway.
            now: Monotonic seconds.
        """
        self.requests.set_rate(requests_per_s)
        self.tokens.set_rate(tokens_per_s)
        self.limit_share_at = now


class TeamBudgets:
    """Budgets of the teams with demand at this gateway.

    Args:
        clock: Monotonic clock.

    Attributes:
        n_gateways: Number of gateways among which limits are divided evenly.
    """

    __slots__ = ("_budgets", "_clock", "n_gateways")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[str, TeamBudget] = {}
        self.n_gateways = 1

    def __iter__(self) -> Iterator[TeamBudget]:
        yield from list(self._budgets.values())

    def admit(self, team: Team) -> bool:
        """Count a request and return whether it is within the team's share."""
        return self._current_budget(team).admit()

    def charge_tokens(self, team: Team, n_tokens: int) -> None:
        """Charge output tokens to a team; its bucket may become negative."""
        self._current_budget(team).charge_tokens(n_tokens)

    def get(self, team: str) -> TeamBudget | None:
        """Return the budget of a team, None if it has no demand here."""
        return self._budgets.get(team)

    def forget(self, team: str) -> None:
        """Drop the budget of an idle team."""
        self._budgets.pop(team, None)

    def apply_even_share(self, budget: TeamBudget) -> None:
        """Divide a team's limits evenly among the known gateways."""
        team = budget.team
        budget.requests.set_rate(team.requests_per_s / self.n_gateways)
        budget.tokens.set_rate(team.tokens_per_s / self.n_gateways)
        budget.limit_share_at = None

    def _current_budget(self, team: Team) -> TeamBudget:
        budget = self._budgets.get(team.name)
        if budget is None:
            budget = TeamBudget(team, self.n_gateways, self._clock)
            self._budgets[team.name] = budget
        elif budget.team is not team:
            budget.team = team
            self.apply_even_share(budget)
        return budget
