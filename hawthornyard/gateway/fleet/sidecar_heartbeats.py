"""Update the fleet from heartbeats and lost connections."""

from collections.abc import Iterator

from ...core import Handlers, Message, PeerDown, Tick
from ...frames import Heartbeat
from .fleet import Fleet


class TrackHeartbeats:
    """Update the fleet's state and pass all messages on.

    Args:
        fleet: State of the endpoints.
    """

    __slots__ = ("_fleet", "handlers")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.handlers: Handlers = {
            Heartbeat: self._on_heartbeat,
            PeerDown: self._on_peer_down,
            Tick: self._on_tick,
        }

    def _on_heartbeat(self, msg: Heartbeat) -> Iterator[Message]:
        self._fleet.on_heartbeat(msg)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._fleet.on_down(msg.peer)
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        self._fleet.on_tick()
        yield msg
