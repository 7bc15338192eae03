"""Choose how often a gateway reads the changes of endpoints."""

from .peers import Peers

# Pause between reads, in seconds per gateway: a change wakes all gateways that wait
# for it, and the store charges for each of their calls.
PAUSE_PER_GATEWAY_S = 0.02
# Pause of a feed reader as a share of `leave_bound_s`.
READER_PAUSE_SHARE = 0.1
# Pause of a gateway that feed readers notify, as a share of `leave_bound_s`: a lost
# datagram delays its knowledge by this pause.
NOTIFIED_PAUSE_SHARE = 0.5
# Time from the choice of an endpoint until a request has reached it: the connect
# timeout of an attempt, and as much again.
SEND_MARGIN_S = 0.5


class ReadPace:
    """Pace of the reads of endpoint changes.

    When gateways are many, a few read often and notify the others of endpoints that
    leave.

    Args:
        peers: The other gateways.

    Attributes:
        leave_bound_s: Seconds after which a leaving endpoint must get no new work.
    """

    __slots__ = ("_peers", "leave_bound_s")

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.leave_bound_s = 2.0

    @property
    def must_notify_peers(self) -> bool:
        """Return whether other gateways rely on the notifications of this one."""
        return self._peers.are_many and self._peers.is_feed_reader

    def pause_s(self) -> float:
        """Return the seconds to wait after a change, to read later ones with it."""
        if not self._peers.are_many:
            return PAUSE_PER_GATEWAY_S * self._peers.n_gateways
        share = (
            READER_PAUSE_SHARE if self._peers.is_feed_reader else NOTIFIED_PAUSE_SHARE
        )
        return share * self.leave_bound_s

    def send_time_left_s(self, left_for_s: float) -> float:
        """Return for how long a leaving endpoint may still be sent a request.

        Args:
            left_for_s: Seconds since this gateway learned that it leaves, which may be
                a whole pause after it said so.

        Returns:
            Seconds, negative if the time is over.
        """
        return self.leave_bound_s - self.pause_s() - SEND_MARGIN_S - left_for_s
