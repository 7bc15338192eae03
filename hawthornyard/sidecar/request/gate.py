"""Refuse new work while the endpoint is leaving or out."""

from collections.abc import Iterator

from ...core import Handlers, Message, Stopped, StopRequested, Tick
from ...errors import ErrorKind
from ...frames import Refused
from ..attempts import Attempts
from ..messages import Fresh, Permitted
from ..state import SidecarState


class Gate:
    """The sidecar's own gate; the gateway's view is the other."""

    __slots__ = ("_attempts", "_state", "handlers")

    def __init__(self, state: SidecarState, attempts: Attempts) -> None:
        self._state = state
        self._attempts = attempts
        self.handlers: Handlers = {
            Fresh: self._on_fresh,
            StopRequested: self._on_stop,
            Tick: self._on_tick,
        }

    def _on_fresh(self, msg: Fresh) -> Iterator[Message]:
        kind = self._refusal()
        if kind is None:
            yield Permitted(msg.attempt)
            return
        attempt = msg.attempt
        self._attempts.refuse(attempt.attempt_id)
        yield Refused(attempt.attempt_id, kind.value, "").at(attempt.peer)

    def _refusal(self) -> ErrorKind | None:
        if self._state.domain_is_out:
            return ErrorKind.DOMAIN_OUT
        if not self._state.is_accepting:
            return ErrorKind.DRAINING
        return None

    def _on_stop(self, msg: StopRequested) -> Iterator[Message]:
        self._state.draining = True
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if self._state.draining and not self._attempts.n_unfinished():
            yield Stopped()
