"""Track the liveness of the other gateways."""

from collections.abc import Iterable

from ...core import Clock
from ...policy import rank_owners

LIVENESS_TIMEOUT_S = 3.0
# Longer than a restart, so that neither a restart nor a network partition makes
# the fleet of gateways look smaller.
KNOWN_GATEWAY_TTL_S = 600.0


class PeerGateways:
    """The configured peer gateways and their liveness.

    Args:
        name: Name of this gateway.
        peers: Names of the other gateways.
        clock: Monotonic clock.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_known_at",
        "_owner_candidates",
        "_owners",
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
        self._owner_candidates: list[str] = []

    def is_gateway(self, peer: str) -> bool:
        """Return whether a peer is a gateway, not a sidecar."""
        return peer in self._peers

    def on_heartbeat(self, peer: str) -> None:
        """Record that a gateway is alive."""
        self._heard_at[peer] = self._known_at[peer] = self._clock.now()

    def on_down(self, peer: str) -> None:
        """Record that a gateway is stopping or disconnected."""
        self._heard_at.pop(peer, None)

    def live(self) -> list[str]:
        """Return the sorted names of the live gateways, this one included."""
        cutoff = self._clock.now() - LIVENESS_TIMEOUT_S
        heard = [peer for peer, at in self._heard_at.items() if at >= cutoff]
        return sorted([*heard, self.name])

    def n_known(self) -> int:
        """Return the number of gateways heard in the last `KNOWN_GATEWAY_TTL_S`.

        This gateway is included.
        """
        cutoff = self._clock.now() - KNOWN_GATEWAY_TTL_S
        return 1 + sum(at >= cutoff for at in self._known_at.values())

    def divisible_share(self) -> float:
        """Return the share of each limit that the live gateways may divide, 0 to 1.

        A majority of the known gateways divides the whole limit, since the others
        are presumed dead. A minority or an exact half divides only its
        proportional share, since it may be on one side of a network partition.
        """
        n_live = len(self.live())
        n_known = self.n_known()
        return 1.0 if n_live * 2 > n_known else n_live / n_known

    def owner(self, team: str) -> str:
        """Return the live gateway that divides a team's limits."""
        live = self.live()
        if live != self._owner_candidates:
            self._owner_candidates = live
            self._owners.clear()
        owner = self._owners.get(team)
        if owner is None:
            owner = self._owners[team] = rank_owners(team, live)[0]
        return owner
