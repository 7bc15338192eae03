"""Frames that divide the rate limits of teams among gateways."""

from .frame import Frame


class TeamDemand(Frame):
    """Gateway to a team's owner: the team's demand at the sending gateway.

    Attributes:
        team: Name of the team.
        requests_per_s: Arrival rate of requests, admitted or not.
        tokens_per_s: Token rate that those requests would use.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s


class TeamLimitShare(Frame):
    """Owner to gateway: the share of a team's limits that the gateway may use.

    Attributes:
        team: Name of the team.
        requests_per_s: Rate of requests that may be admitted.
        tokens_per_s: Rate of tokens that may be used.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
