"""Graceful shutdown of a gateway."""

from collections.abc import Iterator, Sized

from .clock import Clock
from .event import Decision, StopListening, Stopped, StopRequested, Tick
from .message import Message
from .pipeline import Handlers

# Time for load balancers to notice that the readiness probe fails.
READINESS_LAG_S = 1.0


class Drain:
    """Filter that fails readiness, stops listening, then waits for all requests.

    Args:
        inflight: Requests in flight.
        clock: Monotonic clock.
        exchanges: Callers' requests that are being read or answered. One that is still
            being read is not in flight yet.
        readiness_lag_s: Seconds between failing readiness and closing the
            listener.
    """

    __slots__ = (
        "_clock",
        "_exchanges",
        "_has_stopped_listening",
        "_inflight",
        "_readiness_lag_s",
        "_stop_requested_at",
        "handlers",
    )

    def __init__(
        self,
        inflight: Sized,
        clock: Clock,
        *,
        exchanges: Sized = (),
        readiness_lag_s: float = READINESS_LAG_S,
    ) -> None:
        self._inflight = inflight
        self._clock = clock
        self._exchanges = exchanges
        self._readiness_lag_s = readiness_lag_s
        self._stop_requested_at: float | None = None
        self._has_stopped_listening = False
        self.handlers: Handlers = {
            StopRequested: self._on_stop_requested,
            Tick: self._on_tick,
        }

    @property
    def is_stopping(self) -> bool:
        """Return whether the gateway was asked to stop."""
        return self._stop_requested_at is not None

    def _on_stop_requested(self, msg: StopRequested) -> Iterator[Message]:
        if self._stop_requested_at is None:
            self._stop_requested_at = self._clock.now()
            yield Decision("stop", reason="requested", n_in_flight=len(self._inflight))
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if self._stop_requested_at is None:
            return
        if msg.now - self._stop_requested_at < self._readiness_lag_s:
            return
        if not self._has_stopped_listening:
            self._has_stopped_listening = True
            yield StopListening()
        elif not len(self._inflight) and not len(self._exchanges):
            yield Stopped()
