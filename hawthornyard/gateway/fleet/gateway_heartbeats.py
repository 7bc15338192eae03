"""Exchange heartbeats with the other gateways, for liveness and revisions."""

from collections.abc import Iterator

from ...core import Handlers, Message, PeerDown, PeerUp, StopRequested, Tick
from ...frames import GatewayHeartbeat
from ...records import Catalog
from .peer_gateways import PeerGateways

HEARTBEAT_INTERVAL_S = 1.0


class ExchangeHeartbeats:
    """Send heartbeats to the other gateways and record theirs.

    Args:
        catalog: Records in force; heartbeats carry their revision.
        peer_gateways: Liveness of the other gateways.
    """

    __slots__ = (
        "_catalog",
        "_next_heartbeat_at",
        "_peer_gateways",
        "_peers",
        "_stopping",
        "handlers",
    )

    def __init__(self, catalog: Catalog, peer_gateways: PeerGateways) -> None:
        self._catalog = catalog
        self._peer_gateways = peer_gateways
        self._peers: set[str] = set()
        self._stopping = False
        self._next_heartbeat_at = 0.0
        self.handlers: Handlers = {
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
            GatewayHeartbeat: self._on_gateway_heartbeat,
            StopRequested: self._on_stop_requested,
            Tick: self._on_tick,
        }

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        if self._peer_gateways.is_gateway(msg.peer):
            self._peers.add(msg.peer)
            yield self._build_heartbeat(msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        self._peer_gateways.on_down(msg.peer)
        yield msg

    def _on_gateway_heartbeat(self, msg: GatewayHeartbeat) -> Iterator[Message]:
        if msg.is_stopping:
            self._peer_gateways.on_down(msg.peer)
        else:
            self._peer_gateways.on_heartbeat(msg.peer)
        yield from ()

    def _on_stop_requested(self, msg: StopRequested) -> Iterator[Message]:
        self._stopping = True
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now < self._next_heartbeat_at:
            return
        self._next_heartbeat_at = msg.now + HEARTBEAT_INTERVAL_S
        for peer in sorted(self._peers):
            yield self._build_heartbeat(peer)

    def _build_heartbeat(self, peer: str) -> Message:
        return GatewayHeartbeat(self._catalog.revision, self._stopping).with_peer(peer)
