"""Hold what the gateway knows of the other gateways."""

from collections.abc import Iterable

from ...core import Clock
from ...policy import rank_owners

SUSPECT_AFTER_S = 3.0
# Longer than a restart, so that a cut is not taken for a smaller fleet.
KNOWN_FOR_S = 600.0


class Neighbours:
    """The other gateways, by settings, and which of them are alive.

    Args:
        name: Name of this gateway.
        peers: Names of the other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_known_at",
        "_owners",
        "_owners_among",
        "_peers",
        "name",
    )

    def __init__(self, name: str, peers: Iterable[str], clock: Clock) -> None:
        self.name = name
        self._peers = frozenset(peers)
        self._clock = clock
        self._heard_at: dict[str, float] = {}
        self._known_at: dict[str, float] = {}
        self._owners: dict[str, str] = {}
        self._owners_among: list[str] = []

    def is_gateway(self, peer: str) -> bool:
        """Return whether a peer is a gateway."""
        return peer in self._peers

    def on_beat(self, peer: str) -> None:
        """Take note that a gateway is alive."""
        self._heard_at[peer] = self._known_at[peer] = self._clock.now()

    def on_lost(self, peer: str) -> None:
        """Take note that the connection to a gateway is lost."""
        self._heard_at.pop(peer, None)

    def live(self) -> list[str]:
        """Return the names of the gateways that are alive, this one included."""
        horizon = self._clock.now() - SUSPECT_AFTER_S
        heard = [peer for peer, at in self._heard_at.items() if at >= horizon]
        return sorted([*heard, self.name])

    def n_known(self) -> int:
        """Return the number of gateways known lately, this one included."""
        horizon = self._clock.now() - KNOWN_FOR_S
        return 1 + sum(at >= horizon for at in self._known_at.values())

    def share(self) -> float:
        """Return the share of each limit that the live gateways may divide.

        Most of the known gateways may divide all of it, as the others are
        taken for dead; half of them or fewer divide only their own part, as
        they may be the ones that are cut off.
        """
        n_live = len(self.live())
        n_known = self.n_known()
        return 1.0 if n_live * 2 > n_known else n_live / n_known

    def owner(self, team: str) -> str:
        """Return the live gateway that divides a team's limits."""
        live = self.live()
        if live != self._owners_among:
            self._owners_among = live
            self._owners.clear()
        owner = self._owners.get(team)
        if owner is None:
            owner = self._owners[team] = rank_owners(team, live)[0]
        return owner
