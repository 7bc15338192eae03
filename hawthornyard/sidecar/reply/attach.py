"""Attachment of gateways to attempts, and cleanup of abandoned attempts."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, PeerDown, Tick
from ...errors import ErrorKind
from ...frames import (
    Ack,
    Attach,
    AttemptUnknown,
    Cancel,
    Frame,
    Refused,
    Replied,
    Tokens,
)
from ..attempts import Attempts
from ..messages import Attempt, CancelCall, EndpointFailed, Withdrawn
from ..state import SidecarState

ORPHAN_GRACE_S = 10.0
RETENTION_S = 60.0
# Maximum error of an attempt's age, which is measured with the gateway's clock.
AGE_TOLERANCE_S = 1.0


class AttachPeers:
    """Filter that attaches gateways to attempts and cancels orphaned attempts.

    The gateway that dispatched an attempt and the gateways that read it for
    callers who reconnected all receive its output in parallel, so that no gateway
    can take the output away from another. A started attempt that is not idempotent
    is never cancelled.

    Args:
        state: State of the sidecar.
        attempts: Registry of attempts.
        clock: Monotonic clock.
        orphan_grace_s: Seconds that an attempt may run without a gateway before it
            is cancelled.
        retention_s: Seconds that a finished output is kept.
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
            yield self._answer_unknown(msg)
            return
        if attempt.team != msg.team:
            yield Refused(msg.attempt_id, ErrorKind.FORBIDDEN.value, "").with_peer(
                msg.peer
            )
            return
        if msg.offset > len(attempt.texts):
            yield self._unknown_reply(msg, never_run=False)
            return
        if msg.is_reader:
            attempt.readers.add(msg.peer)
        else:
            attempt.peer = msg.peer
        attempt.orphaned_at = None
        yield from _remaining_output(attempt, msg)

    def _answer_unknown(self, msg: Attach) -> Message:
        if msg.is_reader:
            return self._unknown_reply(msg, never_run=False)
        now = self._clock.now()
        dispatched_at = now - msg.age_s - AGE_TOLERANCE_S
        never_run = self._attempts.is_refused(msg.attempt_id) or (
            not self._attempts.has_run(msg.attempt_id)
            and self._attempts.has_full_history_since(dispatched_at)
        )
        if never_run:
            self._attempts.refuse(msg.attempt_id, now)
        return self._unknown_reply(msg, never_run=never_run)

    def _unknown_reply(self, msg: Attach, *, never_run: bool) -> Message:
        incarnation = self._state.incarnation
        return AttemptUnknown(msg.attempt_id, incarnation, never_run).with_peer(
            msg.peer
        )

    def _on_ack(self, msg: Ack) -> Iterator[Message]:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is not None and attempt.final_frame is not None:
            attempt.is_acknowledged = True
            # Callers never reconnect for the response of a plain service.
            if isinstance(attempt.final_frame, Replied):
                self._attempts.forget(msg.attempt_id, self._clock.now())
        yield from ()

    def _on_cancel(self, msg: Cancel) -> Iterator[Message]:
        attempt = self._attempts.get(msg.attempt_id)
        if attempt is None or attempt.final_frame is not None:
            return
        if msg.peer not in attempt.recipients:
            return
        self._detach(attempt, msg.peer)
        if msg.is_immediate and not attempt.recipients:
            yield from self._cancel(attempt)

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        for attempt in self._attempts:
            if msg.peer in attempt.recipients:
                self._detach(attempt, msg.peer)
        yield msg

    def _detach(self, attempt: Attempt, peer: str) -> None:
        attempt.readers.discard(peer)
        if attempt.peer == peer:
            attempt.peer = ""
        if not attempt.recipients:
            attempt.orphaned_at = self._clock.now()

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        for attempt in self._attempts:
            if attempt.final_frame is not None:
                if msg.now - attempt.ended_at > self._retention_s:
                    self._attempts.forget(attempt.attempt_id, msg.now)
            elif self._is_orphan(attempt, msg.now):
                yield from self._cancel(attempt)
        yield msg

    def _is_orphan(self, attempt: Attempt, now: float) -> bool:
        if attempt.orphaned_at is None:
            return False
        return now - attempt.orphaned_at > self._orphan_grace_s

    def _cancel(self, attempt: Attempt) -> Iterator[Message]:
        if attempt.started_at is None:
            self._attempts.refuse(attempt.attempt_id, self._clock.now())
            yield Withdrawn(attempt)
            return
        if not attempt.idempotent:
            return
        yield CancelCall(attempt.attempt_id)
        yield EndpointFailed(attempt.attempt_id, True, "cancelled")


def _remaining_output(attempt: Attempt, msg: Attach) -> Iterator[Message]:
    texts = attempt.texts[msg.offset :]
    if texts:
        yield Tokens(attempt.attempt_id, msg.offset, texts).with_peer(msg.peer)
    if isinstance(attempt.final_frame, Frame):
        yield attempt.final_frame.copy_to(msg.peer)
