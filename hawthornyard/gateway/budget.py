"""Hold the request and token budgets of teams."""

from collections.abc import Iterator

from ..core import Clock
from ..policy import TokenBucket
from ..records import Team

DEMAND_WEIGHT = 0.5
MIN_DEMAND = 0.01
PORTION_LIFETIME_S = 5.0
BURST_S = 1.0


class TeamBudget:
    """The budget of one team at this gateway.

    Attributes:
        team: Record of the team.
        requests: Bucket of requests.
        tokens: Bucket of output tokens.
        requests_demand: Smoothed requests a second that arrive.
        tokens_demand: Smoothed tokens a second that they would use.
        portion_at: Monotonic seconds when the owner last set the portion.
    """

    __slots__ = (
        "_n_requests",
        "_n_refused",
        "_n_tokens",
        "portion_at",
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
        self.portion_at: float | None = None
        self._n_requests = 0
        self._n_refused = 0
        self._n_tokens = 0

    def admit(self) -> bool:
        """Take one request if the team is within its portion."""
        self._n_requests += 1
        if self.tokens.has_credit() and self.requests.take():
            return True
        self._n_refused += 1
        return False

    def charge_tokens(self, n_tokens: int) -> None:
        """Take output tokens, into debt if need be."""
        self._n_tokens += n_tokens
        self.tokens.charge(n_tokens)

    def close_interval(self, seconds: float) -> None:
        """Fold what was counted since the last call into the demand.

        Args:
            seconds: Length of the interval.
        """
        n_admitted = self._n_requests - self._n_refused
        # Refused requests would have used tokens like the admitted ones.
        scale = self._n_requests / n_admitted if n_admitted else 1.0
        requests = self._n_requests / seconds
        tokens = self._n_tokens * scale / seconds
        self.requests_demand += DEMAND_WEIGHT * (requests - self.requests_demand)
        self.tokens_demand += DEMAND_WEIGHT * (tokens - self.tokens_demand)
        self._n_requests = self._n_refused = self._n_tokens = 0

    @property
    def is_idle(self) -> bool:
        """Return whether the team asks for nothing here and owes nothing."""
        demand = max(self.requests_demand, self.tokens_demand)
        return demand < MIN_DEMAND and self.tokens.has_credit()

    def set_portion(
        self, requests_per_s: float, tokens_per_s: float, now: float
    ) -> None:
        """Hold the team to the portion that its owner set."""
        self.requests.set_rate(requests_per_s)
        self.tokens.set_rate(tokens_per_s)
        self.portion_at = now


class TeamBudgets:
    """The budgets of the teams that ask for something here.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_budgets", "_clock", "n_gateways")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._budgets: dict[str, TeamBudget] = {}
        self.n_gateways = 1

    def __iter__(self) -> Iterator[TeamBudget]:
        yield from list(self._budgets.values())

    def admit(self, team: Team) -> bool:
        """Take one request from a team's budget if it is within its portion."""
        return self._budget(team).admit()

    def charge_tokens(self, team: Team, n_tokens: int) -> None:
        """Take output tokens from a team's budget, into debt if need be."""
        self._budget(team).charge_tokens(n_tokens)

    def get(self, team: str) -> TeamBudget | None:
        """Return the budget of a team that asks for something here."""
        return self._budgets.get(team)

    def forget(self, team: str) -> None:
        """Drop the budget of a team that asks for nothing."""
        self._budgets.pop(team, None)

    def fall_back(self, budget: TeamBudget) -> None:
        """Hold a team to an even part of its limits among all gateways."""
        team = budget.team
        budget.requests.set_rate(team.requests_per_s / self.n_gateways)
        budget.tokens.set_rate(team.tokens_per_s / self.n_gateways)
        budget.portion_at = None

    def _budget(self, team: Team) -> TeamBudget:
        budget = self._budgets.get(team.name)
        if budget is None:
            budget = TeamBudget(team, self.n_gateways, self._clock)
            self._budgets[team.name] = budget
        elif budget.team is not team:
            budget.team = team
            self.fall_back(budget)
        return budget
