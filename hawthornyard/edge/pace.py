"""Choose how often a gateway reads the changes of endpoints."""

from .peers import Peers

# Pause of each gateway for each of them, since a change wakes all that wait for it
# and each of their calls is priced.
PAUSE_PER_GATEWAY_S = 0.02
# Share of the bound on leaving endpoints that the pause of a reader may take.
READER_PAUSE_SHARE = 0.1
# The same for gateways that readers tell; a datagram that is lost costs this long.
NOTIFIED_PAUSE_SHARE = 0.5


class ReadPace:
    """Let few gateways read often, and tell the others who leaves.

    Args:
        peers: The other gateways.

    Attributes:
        leave_bound_s: Time after which a leaving endpoint must get nothing new.
    """

    __slots__ = ("_peers", "leave_bound_s")

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.leave_bound_s = 2.0

    @property
    def must_notify_peers(self) -> bool:
        """Return whether other gateways wait to be told what this one reads."""
        return self._peers.are_many and self._peers.is_feed_reader

    def pause_s(self) -> float:
        """Return the pause after changes, in which others may gather."""
        if not self._peers.are_many:
            return PAUSE_PER_GATEWAY_S * self._peers.n_gateways
        share = (
            READER_PAUSE_SHARE if self._peers.is_feed_reader else NOTIFIED_PAUSE_SHARE
        )
        return share * self.leave_bound_s
