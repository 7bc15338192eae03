"""Distrust connections that are silent while work is outstanding."""

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

# A sidecar sends something once a second to gateways with unfinished attempts.
SILENCE_S = 3.0
CHECK_INTERVAL_S = 0.5


class SuspectSilence:
    """Have a silent connection replaced before its peer is judged dead.

    Args:
        inflight: Requests that wait for frames.
        clock: Source of time.
        silence_s: Seconds without a frame while work is outstanding.
    """

    __slots__ = (
        "_clock",
        "_due_at",
        "_heard_at",
        "_inflight",
        "_silence_s",
        "handlers",
    )

    def __init__(
        self, inflight: InFlight, clock: Clock, *, silence_s: float = SILENCE_S
    ) -> None:
        self._inflight = inflight
        self._clock = clock
        self._silence_s = silence_s
        self._heard_at: dict[str, float] = {}
        self._due_at = 0.0
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
        if msg.now < self._due_at:
            return
        self._due_at = msg.now + CHECK_INTERVAL_S
        for peer in sorted(self._silent(msg.now)):
            del self._heard_at[peer]
            yield Decision("connection_suspected", reason="silent", peer=peer)
            yield ConnectionSuspected(peer)

    def _silent(self, now: float) -> set[str]:
        silent = set()
        for request in self._inflight:
            heard_at = self._heard_at.get(request.endpoint)
            if heard_at is None or not request.attempt_id:
                continue
            since = max(heard_at, request.sent_at)
            if now - since > self._silence_s:
                silent.add(request.endpoint)
        return silent
