"""Define the frames that share the limits of teams."""

from .frame import Frame


class TeamDemand(Frame):
    """Gateway to a team's owner: what the team asks for here.

    Attributes:
        team: The team.
        requests_per_s: Requests that arrive, admitted or not.
        tokens_per_s: Tokens that they would use.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s


class TeamLimitShare(Frame):
    """Owner to gateway: the part of a team's limits that holds there.

    Attributes:
        team: The team.
        requests_per_s: Requests that may be admitted.
        tokens_per_s: Tokens that may be used.
    """

    __slots__ = ("team", "requests_per_s", "tokens_per_s")

    def __init__(self, team: str, requests_per_s: float, tokens_per_s: float) -> None:
        self.team = team
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
