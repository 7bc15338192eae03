"""Report the endpoint's state to the gateways."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, PeerDown, PeerUp, Tick
from ...frames import Heartbeat
from ..messages import ConfigChanged, Finished
from ..state import SidecarState

HEARTBEAT_INTERVAL_S = 1.0


class Beat:
    """Send heartbeats at an interval and when something matters.

    Args:
        state: State of the sidecar.
        clock: Source of time.
        interval_s: Seconds between heartbeats.
    """

    __slots__ = (
        "_clock",
        "_due_at",
        "_interval_s",
        "_peers",
        "_said",
        "_state",
        "handlers",
    )

    def __init__(
        self,
        state: SidecarState,
        clock: Clock,
        *,
        interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._state = state
        self._clock = clock
        self._interval_s = interval_s
        self._peers: set[str] = set()
        self._due_at = 0.0
        self._said = self._summary()
        self.handlers: Handlers = {
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
            Tick: self._on_tick,
            ConfigChanged: self._on_change,
            Finished: self._on_change,
        }

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._peers.add(msg.peer)
        yield self._beat().at(msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if msg.now >= self._due_at or self._summary() != self._said:
            yield from self._beat_all()
        yield msg

    def _on_change(self, msg: Message) -> Iterator[Message]:
        if self._summary() != self._said:
            yield from self._beat_all()
        yield msg

    def _beat_all(self) -> Iterator[Message]:
        self._due_at = self._clock.now() + self._interval_s
        self._said = self._summary()
        for peer in sorted(self._peers):
            yield self._beat().at(peer)

    def _summary(self) -> tuple[bool, int]:
        return self._state.is_accepting, self._state.limit

    def _beat(self) -> Heartbeat:
        state = self._state
        return Heartbeat(
            state.name,
            state.incarnation,
            state.catalog.revision,
            state.is_accepting,
            state.n_running,
            state.n_waiting,
            state.limit,
            state.load,
        )
