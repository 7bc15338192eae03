"""Bound the requests that one gateway sends to the new version."""

import math
from collections.abc import Sequence

# Share of the requests that the slack adds to the share of a step while it lasts.
BONUS_SHARE = 0.25
# Largest credit that is kept while no endpoint of the new version takes a request.
MAX_CREDIT = 4.0
# Share of the requests that take credit when there is some.
EXPOSE_CHANCE = 0.5
# Part of the slack that the gateways use; the rest covers requests that are counted
# here and refused elsewhere.
SLACK_USED = 0.5


class Exposure:
    """Credit of one gateway for requests to the new version.

    Each request that reaches the service adds the share that is in force, each one that
    goes to the new version takes 1. The sum over all gateways keeps the bound, however
    callers are spread and however few requests a gateway sees.

    Args:
        slack: Requests that all gateways may send beyond the share.
        n_gateways: Gateways that share the slack.
    """

    __slots__ = ("_bonus", "_credit", "n_exposed", "n_requests")

    def __init__(self, slack: float, n_gateways: int) -> None:
        self._bonus = SLACK_USED * slack / max(1, n_gateways)
        self._credit = 0.0
        self.n_requests = 0
        self.n_exposed = 0

    def note_request(self, share: float) -> None:
        """Count a request of the service while a share is in force."""
        self.n_requests += 1
        if share <= 0.0:
            return
        bonus = min(BONUS_SHARE, self._bonus)
        self._bonus -= bonus
        self._credit = min(MAX_CREDIT, self._credit + share + bonus)

    def rate(self, share: float) -> float:
        """Return the share that goes to the new version, with what is left of slack."""
        return share + min(BONUS_SHARE, self._bonus)

    def may_expose(self, draw: float) -> bool:
        """Return whether a request may go to the new version.

        Args:
            draw: Number from 0 to 1 that is evenly spread over requests; without it a
                route that gets each tenth request would get all or none of the credit.
        """
        return self._credit >= 1.0 and draw < EXPOSE_CHANCE

    def note_exposed(self) -> None:
        """Count a request that goes to the new version."""
        self.n_exposed += 1
        self._credit -= 1.0


def choose_tested(
    names: Sequence[str], n_old: int, share: float, turn: int
) -> Sequence[str]:
    """Return the endpoints of the new version that get its share at present.

    Load pattern: a fault that shows only under load. A share of the traffic goes to as
    few endpoints as would carry it on the old version, in turn.

    Args:
        names: Names of the endpoints of the new version.
        n_old: Number of endpoints of the old versions.
        share: Share of the traffic of the service.
        turn: Number of the turn.
    """
    if not names:
        return ()
    ordered = sorted(names)
    n_tested = min(len(ordered), max(1, math.ceil(share * n_old)))
    start = turn * n_tested % len(ordered)
    return [*ordered[start:], *ordered[:start]][:n_tested]
