"""Attach gateways to attempts and drop output that nobody wants."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, PeerDown, Tick
from ...errors import ErrorKind
from ...frames import Ack, Attach, Cancel, Frame, Refused, Tokens, Unknown
from ..attempts import Attempts
from ..messages import Attempt, CancelEndpoint, EndpointFailed
from ..state import SidecarState

ORPHAN_GRACE_S = 10.0
RETENTION_S = 60.0


class AttachPeers:
    """Send output from an offset on, and cancel orphans after a while.

    Args:
        state: State of the sidecar.
        attempts: Attempts that are known.
        clock: Source of time.
        orphan_grace_s: How long a generation runs without a gateway.
        retention_s: How long a complete output is kept.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_orphan_grace_s",
        "_retention_s",
        "_state",
        "handlers",
    )

    def __init__(
        self,
        state: SidecarState,
        attempts: Attempts,
        clock: Clock,
        *,
        orphan_grace_s: float = ORPHAN_GRACE_S,
        retention_s: float = RETENTION_S,
    ) -> None:
        self._state = state
        self._attempts = attempts
        self._clock = clock
        self._orphan_grace_s = orphan_grace_s
        self._retention_s = retention_s
        self.handlers: Handlers = {
            Attach: self._on_attach,
            Ack: self._on_ack,
            Cancel: self._on_cancel,
            PeerDown: self._on_peer_down,
            Tick: self._on_tick,
        }

    def _on_attach(self, msg: Attach) -> Iterator[Message]:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is None:
            if not msg.reader:
                self._attempts.refuse(msg.attempt_id)
            yield Unknown(msg.attempt_id, self._state.incarnation).at(msg.peer)
            return
        if attempt.team != msg.team:
            yield Refused(msg.attempt_id, ErrorKind.FORBIDDEN.value, "").at(msg.peer)
            return
        attempt.peer = msg.peer
        attempt.orphaned_at = None
        yield from _rest(attempt, msg.offset)

    def _on_ack(self, msg: Ack) -> Iterator[Message]:
        yield from ()

    def _on_cancel(self, msg: Cancel) -> Iterator[Message]:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is None or attempt.peer != msg.peer or attempt.end is not None:
            return
        attempt.peer = ""
        attempt.orphaned_at = self._clock.now()
        if msg.now:
            yield from self._cancel(attempt)

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        now = self._clock.now()
        for attempt in self._attempts:
            if attempt.peer == msg.peer:
                attempt.peer = ""
                attempt.orphaned_at = now
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for attempt in self._attempts:
            if attempt.end is not None:
                if msg.now - attempt.ended_at > self._retention_s:
                    self._attempts.refuse(attempt.attempt_id)
            elif self._is_orphan(attempt, msg.now):
                yield from self._cancel(attempt)
        yield msg

    def _is_orphan(self, attempt: Attempt, now: float) -> bool:
        if attempt.orphaned_at is None:
            return False
        return now - attempt.orphaned_at > self._orphan_grace_s

    def _cancel(self, attempt: Attempt) -> Iterator[Message]:
        if not attempt.idempotent or attempt.begun_at is None:
            return
        yield CancelEndpoint(attempt.attempt_id)
        yield EndpointFailed(attempt.attempt_id, True, "cancelled")


def _rest(attempt: Attempt, offset: int) -> Iterator[Message]:
    texts = attempt.texts[offset:]
    if texts:
        yield Tokens(attempt.attempt_id, offset, texts).at(attempt.peer)
    if isinstance(attempt.end, Frame):
        yield attempt.end.at(attempt.peer)
