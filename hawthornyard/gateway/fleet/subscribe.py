"""Keep the heartbeats that a gateway receives within the control budget."""

from collections.abc import Iterator

from ...core import Handlers, Message, PeerDown, PeerUp
from ...frames import Subscribe
from ..messages import HeartbeatsExpected
from .fleet import Fleet
from .neighbours import Neighbours

MIN_INTERVAL_S = 1.0
MAX_HEARTBEATS_PER_S = 10.0


class SubscribeHeartbeats:
    """Ask all sidecars for heartbeats at an interval that fits the budget.

    Args:
        fleet: Told of the interval, which bounds its trust in old news.
        neighbours: Tells gateways from sidecars.
    """

    __slots__ = ("_fleet", "_interval_s", "_neighbours", "_peers", "handlers")

    def __init__(self, fleet: Fleet, neighbours: Neighbours) -> None:
        self._fleet = fleet
        self._neighbours = neighbours
        self._peers: set[str] = set()
        self._interval_s = MIN_INTERVAL_S
        self.handlers: Handlers = {
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        yield msg
        if self._neighbours.is_gateway(msg.peer):
            return
        self._peers.add(msg.peer)
        before = self._interval_s
        self._interval_s = max(MIN_INTERVAL_S, len(self._peers) / MAX_HEARTBEATS_PER_S)
        self._fleet.heartbeat_interval_s = self._interval_s
        if self._interval_s != before:
            yield HeartbeatsExpected(self._interval_s)
            for peer in sorted(self._peers):
                yield Subscribe(self._interval_s).with_peer(peer)
        elif self._interval_s > MIN_INTERVAL_S:
            yield Subscribe(self._interval_s).with_peer(msg.peer)

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg
