"""Detect half-open connections by silence while attempts are outstanding."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, PeerDown, PeerUp, Tick
from ...frames import (
    Accepted,
    AttemptUnknown,
    Ended,
    Failed,
    Frame,
    Heartbeat,
    Refused,
    Replied,
    Tokens,
)
from ..inflight import InFlight
from ..messages import ConnectionSuspected

# A sidecar sends at least one frame per second to gateways with unfinished attempts.
MAX_SILENCE_S = 3.0
CHECK_INTERVAL_S = 0.5


class DetectSilentConnections:
    """Request a new connection in place of a silent one.

    At heartbeat intervals above 1 s, this happens before the peer is presumed dead
    for missed heartbeats.

    Args:
        inflight: Requests without a final reply.
        clock: Monotonic clock.
        max_silence_s: Seconds without a frame, while attempts are outstanding, after
            which a connection counts as silent.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_inflight",
        "_max_silence_s",
        "_next_check_at",
        "handlers",
    )

    def __init__(
        self, inflight: InFlight, clock: Clock, *, max_silence_s: float = MAX_SILENCE_S
    ) -> None:
        self._inflight = inflight
        self._clock = clock
        self._max_silence_s = max_silence_s
        self._heard_at: dict[str, float] = {}
        self._next_check_at = 0.0
        heard = (
            Heartbeat,
            Tokens,
            Accepted,
            Refused,
            Ended,
            Replied,
            Failed,
            AttemptUnknown,
        )
        self.handlers: Handlers = {
            **dict.fromkeys(heard, self._on_frame),
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
            Tick: self._on_tick,
        }

    def _on_frame(self, msg: Frame) -> Iterator[Message]:
        self._heard_at[msg.peer] = self._clock.now()
        yield msg

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._heard_at[msg.peer] = self._clock.now()
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._heard_at.pop(msg.peer, None)
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now < self._next_check_at:
            return
        self._next_check_at = msg.now + CHECK_INTERVAL_S
        for peer in sorted(self._silent_peers(msg.now)):
            del self._heard_at[peer]
            yield Decision("connection_suspected", reason="silent", peer=peer)
            yield ConnectionSuspected(peer)

    def _silent_peers(self, now: float) -> set[str]:
        silent = set()
        for request in self._inflight:
            heard_at = self._heard_at.get(request.endpoint)
            if heard_at is None or not request.attempt_id:
                continue
            since = max(heard_at, request.sent_at)
            if now - since > self._max_silence_s:
                silent.add(request.endpoint)
        return silent
