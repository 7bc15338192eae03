"""Sample the endpoints among which a choice is made."""

from collections.abc import Sequence

from ..core import RandomSource
from .endpoints import Endpoint
from .peers import Peers

# Sample size when gateways are many and share their loads less often. Two choices
# even out most of the imbalance of a random choice; with three or six, more requests
# of different gateways met at the same endpoint.
N_CHOICES = 2


class Sampling:
    """Random samples of endpoints, used when gateways are many.

    Gateways that know the same loads would all choose the same endpoint until they
    receive the load reports that follow from their choices.

    Args:
        peers: The other gateways.
        random_source: Source of randomness.
    """

    __slots__ = ("_peers", "_random_source")

    def __init__(self, peers: Peers, random_source: RandomSource) -> None:
        self._peers = peers
        self._random_source = random_source

    def draw(
        self, endpoints: Sequence[Endpoint], n_choices: int = N_CHOICES
    ) -> list[Endpoint]:
        """Return the endpoints to compare: a sample, or all if gateways are few.

        Args:
            endpoints: Endpoints to draw from.
            n_choices: Size of the sample.
        """
        if not self._peers.are_many or len(endpoints) <= n_choices:
            return list(endpoints)
        return self._random_source.sample(endpoints, n_choices)
