"""Keep the rate of received heartbeats within the control-traffic budget."""

from collections.abc import Iterator

from ...core import Handlers, Message, PeerDown, PeerUp
from ...frames import Subscribe
from ..messages import HeartbeatIntervalChanged
from .fleet import Fleet
from .peer_gateways import PeerGateways

MIN_HEARTBEAT_INTERVAL_S = 1.0
MAX_HEARTBEATS_PER_S = 10.0


class SubscribeHeartbeats:
    """Subscribe to all sidecars' heartbeats at an interval within the budget.

    The interval is recomputed when a sidecar connects, not when one disconnects.

    Args:
        fleet: Receives the interval, which sets when an endpoint stops being live.
        peer_gateways: Distinguishes gateways from sidecars.
    """

    __slots__ = ("_fleet", "_interval_s", "_peer_gateways", "_peers", "handlers")

    def __init__(self, fleet: Fleet, peer_gateways: PeerGateways) -> None:
        self._fleet = fleet
        self._peer_gateways = peer_gateways
        self._peers: set[str] = set()
        self._interval_s = MIN_HEARTBEAT_INTERVAL_S
        self.handlers: Handlers = {
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        yield msg
        if self._peer_gateways.is_gateway(msg.peer):
            return
        self._peers.add(msg.peer)
        before = self._interval_s
        self._interval_s = max(
            MIN_HEARTBEAT_INTERVAL_S, len(self._peers) / MAX_HEARTBEATS_PER_S
        )
        self._fleet.heartbeat_interval_s = self._interval_s
        if self._interval_s != before:
            yield HeartbeatIntervalChanged(self._interval_s)
            for peer in sorted(self._peers):
                yield Subscribe(self._interval_s).with_peer(peer)
        elif self._interval_s > MIN_HEARTBEAT_INTERVAL_S:
            yield Subscribe(self._interval_s).with_peer(msg.peer)

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg
