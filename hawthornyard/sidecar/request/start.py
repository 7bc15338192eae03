"""Start of admitted attempts at the endpoint."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...frames import Accepted
from ..messages import Admitted, CallEndpoint


class StartAttempt:
    """Filter that notifies the gateway that an attempt will run, then starts it.

    Args:
        clock: Monotonic clock.
    """

    __slots__ = ("_clock", "handlers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.handlers: Handlers = {Admitted: self._on_admitted}

    def _on_admitted(self, msg: Admitted) -> Iterator[Message]:
        attempt = msg.attempt
        attempt.started_at = self._clock.now()
        if attempt.peer:
            yield Accepted(attempt.attempt_id).with_peer(attempt.peer)
        yield CallEndpoint(attempt)
