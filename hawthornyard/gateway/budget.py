"""Hold the request and token budgets of teams."""

from ..core import Clock
from ..policy import TokenBucket
from ..records import Team


class TeamBudgets:
    """Token buckets of the teams that were seen lately.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_requests", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._requests: dict[str, TokenBucket] = {}
        self._tokens: dict[str, TokenBucket] = {}

    def admit(self, team: Team) -> bool:
        """Take one request from a team's budget if it is within its rates."""
        tokens = self._bucket(self._tokens, team.name, team.tokens_per_s)
        requests = self._bucket(self._requests, team.name, team.requests_per_s)
        return tokens.is_positive() and requests.take()

    def charge_tokens(self, team: Team, n_tokens: int) -> None:
        """Take output tokens from a team's budget, into debt if need be."""
        self._bucket(self._tokens, team.name, team.tokens_per_s).charge(n_tokens)

    def _bucket(
        self, buckets: dict[str, TokenBucket], team: str, rate: float
    ) -> TokenBucket:
        bucket = buckets.get(team)
        if bucket is None:
            bucket = buckets[team] = TokenBucket(rate, self._clock)
        bucket.rate = rate
        return bucket
