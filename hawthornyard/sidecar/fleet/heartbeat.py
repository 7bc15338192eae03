"""Send heartbeats from a sidecar to its gateways."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, PeerDown, PeerUp, Tick
from ...frames import Heartbeat, Subscribe, Tokens
from ..attempts import Attempts
from ..messages import ConfigChanged, Finished
from ..state import SidecarState

HEARTBEAT_INTERVAL_S = 1.0
MAX_SILENCE_S = 1.0


class SendHeartbeats:
    """Filter that sends heartbeats periodically and when the state changes.

    The changes that count are whether the sidecar accepts attempts and its
    concurrency limit.

    A gateway with unfinished attempts receives a frame at least every
    `MAX_SILENCE_S`: tokens, or else a heartbeat. It can therefore detect within
    seconds that this host has failed, even with a long heartbeat interval.

    Args:
        state: State of the sidecar.
        attempts: Registry of attempts.
        clock: Monotonic clock.
        interval_s: Seconds between heartbeats to a peer that has not subscribed
            with another interval.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_due_at",
        "_interval_s",
        "_intervals_s",
        "_last_sent_at",
        "_last_summary",
        "_state",
        "handlers",
    )

    def __init__(
        self,
        state: SidecarState,
        attempts: Attempts,
        clock: Clock,
        *,
        interval_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._clock = clock
        self._interval_s = interval_s
        self._due_at: dict[str, float] = {}
        self._last_sent_at: dict[str, float] = {}
        self._intervals_s: dict[str, float] = {}
        self._last_summary = self._summary()
        self.handlers: Handlers = {
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
            Subscribe: self._on_subscribe,
            Tick: self._on_tick,
            ConfigChanged: self._on_change,
            Finished: self._on_change,
            Tokens: self._on_tokens,
        }

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._intervals_s[msg.peer] = self._interval_s
        yield self._heartbeat(msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._intervals_s.pop(msg.peer, None)
        self._due_at.pop(msg.peer, None)
        self._last_sent_at.pop(msg.peer, None)
        yield msg

    def _on_subscribe(self, msg: Subscribe) -> Iterator[Message]:
        self._intervals_s[msg.peer] = msg.interval_s
        yield from ()

    def _on_tokens(self, msg: Tokens) -> Iterator[Message]:
        self._last_sent_at[msg.peer] = self._clock.now()
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield from self._heartbeat_on_change()
        for peer, due_at in list(self._due_at.items()):
            if msg.now >= due_at:
                yield self._heartbeat(peer)
        for peer in sorted(self._active_peers()):
            if msg.now - self._last_sent_at.get(peer, 0.0) >= MAX_SILENCE_S:
                yield self._heartbeat(peer)
        yield msg

    def _active_peers(self) -> set[str]:
        unfinished = self._attempts.unfinished()
        peers = {peer for item in unfinished for peer in item.recipients}
        return peers & self._due_at.keys()

    def _on_change(self, msg: Message) -> Iterator[Message]:
        yield from self._heartbeat_on_change()
        yield msg

    def _heartbeat_on_change(self) -> Iterator[Message]:
        if self._summary() == self._last_summary:
            return
        self._last_summary = self._summary()
        for peer in sorted(self._due_at):
            yield self._heartbeat(peer)

    def _summary(self) -> tuple[bool, int]:
        return self._state.is_accepting, self._state.limit

    def _heartbeat(self, peer: str) -> Message:
        now = self._clock.now()
        self._last_sent_at[peer] = now
        self._due_at[peer] = now + self._intervals_s[peer]
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
        ).with_peer(peer)
