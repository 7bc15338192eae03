"""Stop a gateway gracefully."""

from collections.abc import Iterator, Sized

from .clock import Clock
from .event import Decision, StopListening, Stopped, StopRequested, Tick
from .message import Message
from .pipe import Handlers

# The balancer needs this long to notice that readiness failed.
READINESS_LAG_S = 1.0


class Drain:
    """Fail readiness, then stop listening, then wait for all requests.

    Args:
        inflight: Requests that are not answered yet.
        clock: Source of time.
        readiness_lag_s: Seconds between failing readiness and not listening.
    """

    __slots__ = (
        "_clock",
        "_inflight",
        "_readiness_lag_s",
        "_stopping_at",
        "_was_closed",
        "handlers",
    )

    def __init__(
        self,
        inflight: Sized,
        clock: Clock,
        *,
        readiness_lag_s: float = READINESS_LAG_S,
    ) -> None:
        self._inflight = inflight
        self._clock = clock
        self._readiness_lag_s = readiness_lag_s
        self._stopping_at: float | None = None
        self._was_closed = False
        self.handlers: Handlers = {StopRequested: self._on_stop, Tick: self._on_tick}

    @property
    def is_stopping(self) -> bool:
        """Return whether the gateway was asked to stop."""
        return self._stopping_at is not None

    def _on_stop(self, msg: StopRequested) -> Iterator[Message]:
        if self._stopping_at is None:
            self._stopping_at = self._clock.now()
            yield Decision("stop", reason="requested", n_in_flight=len(self._inflight))

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if self._stopping_at is None:
            return
        if msg.now - self._stopping_at < self._readiness_lag_s:
            return
        if not self._was_closed:
            self._was_closed = True
            yield StopListening()
        elif not len(self._inflight):
            yield Stopped()
