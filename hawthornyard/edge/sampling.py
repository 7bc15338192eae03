"""Draw the endpoints among which a choice is made."""

from collections.abc import Sequence

from ..core import RandomSource
from .endpoints import Endpoint
from .peers import Peers

# Endpoints that are compared where loads are told seldom. Two even out most of a
# random choice; with three or six more requests met at the same endpoint.
N_DRAWN = 2


class Sampling:
    """Compare only some endpoints where many gateways choose.

    Gateways that know the same loads would all choose the same endpoint until they
    hear of one another's choices.

    Args:
        peers: The other gateways.
        chance: Source of randomness.
    """

    __slots__ = ("_chance", "_peers")

    def __init__(self, peers: Peers, chance: RandomSource) -> None:
        self._peers = peers
        self._chance = chance

    def draw(self, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the endpoints to compare, all of them among few gateways."""
        if not self._peers.are_many or len(endpoints) <= N_DRAWN:
            return list(endpoints)
        return self._chance.sample(endpoints, N_DRAWN)
