"""Deduplication of dispatched attempts."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...errors import ErrorKind
from ...frames import Dispatch, Refused
from ..attempts import Attempts
from ..messages import Attempt, NewAttempt


class Deduplicate:
    """Filter that passes each attempt at most once.

    Attempts that were refused before are refused again; repeats of attempts that
    are held or were run are ignored.

    Args:
        attempts: Registry of attempts.
        clock: Monotonic clock.
    """

    __slots__ = ("_attempts", "_clock", "handlers")

    def __init__(self, attempts: Attempts, clock: Clock) -> None:
        self._attempts = attempts
        self._clock = clock
        self.handlers: Handlers = {Dispatch: self._on_dispatch}

    def _on_dispatch(self, msg: Dispatch) -> Iterator[Message]:
        if self._attempts.is_refused(msg.attempt_id):
            yield Refused(
                msg.attempt_id, ErrorKind.DUPLICATE_ATTEMPT.value, "refused before"
            ).with_peer(msg.peer)
            return
        if self._attempts.get(msg.attempt_id) is not None:
            return
        if self._attempts.has_run(msg.attempt_id):
            return
        attempt = Attempt(msg, self._clock.now())
        self._attempts.add(attempt)
        yield NewAttempt(attempt)
