"""Refusal of attempts while the sidecar does not accept work."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, Stopped, StopRequested, Tick
from ...errors import ErrorKind
from ...frames import Refused
from ...policy import PauseDetector
from ..attempts import Attempts
from ..messages import (
    Attempt,
    ConfigChanged,
    EndpointLoadReport,
    Finished,
    NewAttempt,
    Permitted,
    Withdrawn,
)
from ..state import SidecarState

# Time for gateways to learn that the sidecar no longer accepts work.
DRAIN_ANNOUNCEMENT_S = 3.0
# How long unacknowledged final frames stay available during a shutdown.
UNACKNOWLEDGED_GRACE_S = 10.0


class CheckAvailability:
    """Filter that refuses attempts while the endpoint is unavailable.

    Gateways check availability too, but their view of the endpoint may be out of
    date. After a pause of the process the sidecar's own view may be as well, so
    attempts are refused until it has caught up.

    Args:
        state: State of the sidecar.
        attempts: Registry of attempts.
        clock: Monotonic clock.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_idle_since",
        "_pause_detector",
        "_state",
        "handlers",
    )

    def __init__(self, state: SidecarState, attempts: Attempts, clock: Clock) -> None:
        self._state = state
        self._attempts = attempts
        self._clock = clock
        self._idle_since: float | None = None
        self._pause_detector = PauseDetector(clock)
        self.handlers: Handlers = {
            NewAttempt: self._on_new_attempt,
            Finished: self._on_finished_or_load_report,
            EndpointLoadReport: self._on_finished_or_load_report,
            ConfigChanged: self._on_config_changed,
            StopRequested: self._on_stop_requested,
            Tick: self._on_tick,
        }

    def _on_new_attempt(self, msg: NewAttempt) -> Iterator[Message]:
        kind = self._refusal_kind()
        if kind is None:
            yield Permitted(msg.attempt)
            return
        yield self._refuse(msg.attempt, kind)

    def _on_finished_or_load_report(self, msg: Message) -> Iterator[Message]:
        if self._pause_detector.is_catching_up():
            yield from self._withdraw_waiting()
        yield msg

    def _on_config_changed(self, msg: ConfigChanged) -> Iterator[Message]:
        yield from self._withdraw_waiting()
        yield msg

    def _on_stop_requested(self, msg: StopRequested) -> Iterator[Message]:
        self._state.is_draining = True
        yield from self._withdraw_waiting()
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._pause_detector.is_catching_up():
            yield from self._withdraw_waiting()
        self._pause_detector.on_tick()
        yield msg
        if self._state.is_draining and self._may_stop(msg.now):
            yield Stopped()

    def _refusal_kind(self) -> ErrorKind | None:
        if self._state.is_domain_out:
            return ErrorKind.DOMAIN_OUT
        if not self._state.is_accepting:
            return ErrorKind.DRAINING
        if self._pause_detector.is_catching_up():
            return ErrorKind.OVERLOADED
        return None

    def _withdraw_waiting(self) -> Iterator[Message]:
        kind = self._refusal_kind()
        if kind is None:
            return
        for attempt in self._attempts:
            if attempt.started_at is None and attempt.final_frame is None:
                yield Withdrawn(attempt)
                yield self._refuse(attempt, kind)

    def _refuse(self, attempt: Attempt, kind: ErrorKind) -> Message:
        self._attempts.refuse(attempt.attempt_id, self._clock.now())
        return Refused(attempt.attempt_id, kind.value, "").with_peer(attempt.peer)

    def _may_stop(self, now: float) -> bool:
        if self._attempts.n_unfinished():
            self._idle_since = None
            return False
        if self._idle_since is None:
            self._idle_since = now
        wait_s = (
            UNACKNOWLEDGED_GRACE_S
            if self._attempts.n_unacknowledged()
            else DRAIN_ANNOUNCEMENT_S
        )
        return now - self._idle_since >= wait_s
