"""Stand in for the platform's weight store."""

from ..core import Clock
from ..io import MonotonicClock
from ..stores import WeightPart
from .faults import Faults
from .web import WebAnswer, WebApp, WebRequest

DEFAULT_BYTES_PER_S = 2_000_000_000
DEFAULT_WEIGHT_BYTES = 200_000_000
# Capacity of the token bucket, as the time that filling it takes; also the longest
# wait that a reader is told.
BURST_S = 0.1


class WeightModel:
    """A `WeightStore` in memory whose readers share one token bucket of bytes.

    Args:
        clock: Source of time.
        bytes_per_s: Rate of all readers together.

    Attributes:
        sizes: Size in bytes by name of the weights; `DEFAULT_WEIGHT_BYTES` for the
            names that are not in it.
        n_granted: Number of bytes granted to readers since the start.
    """

    __slots__ = (
        "_available_bytes",
        "_bytes_per_s",
        "_clock",
        "_updated_at",
        "n_granted",
        "sizes",
    )

    def __init__(
        self, clock: Clock, *, bytes_per_s: float = DEFAULT_BYTES_PER_S
    ) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._available_bytes = bytes_per_s * BURST_S
        self._updated_at = clock.now()
        self.sizes: dict[str, int] = {}
        self.n_granted = 0

    def read(self, name: str, offset: int) -> WeightPart:
        """Grant the bytes that the rate allows now; see `WeightStore.read`."""
        self._refill()
        n_bytes = self.sizes.get(name, DEFAULT_WEIGHT_BYTES)
        n_granted = min(n_bytes - offset, int(self._available_bytes))
        self._available_bytes -= n_granted
        self.n_granted += n_granted
        n_remaining = n_bytes - offset - n_granted
        wait_s = min(BURST_S, n_remaining / self._bytes_per_s) if n_remaining else 0.0
        return WeightPart(n_bytes, n_granted, wait_s)

    def _refill(self) -> None:
        now = self._clock.now()
        refilled_bytes = (now - self._updated_at) * self._bytes_per_s
        self._available_bytes = min(
            self._bytes_per_s * BURST_S, self._available_bytes + refilled_bytes
        )
        self._updated_at = now


class WeightStoreStandIn:
    """A stand-in of the platform's weight store; serves a `WeightModel` over HTTP.

    Args:
        model: Decides how many bytes each reader gets.
        clock: Source of time for the rate limits, by default the host's monotonic
            clock.
    """

    __slots__ = ("app", "faults", "model")

    def __init__(self, model: WeightModel, clock: Clock | None = None) -> None:
        self.model = model
        self.faults = Faults(clock or MonotonicClock())
        self.app = WebApp(
            {
                "GET /v1/weights": self.faults.wrap_read(self._read),
                "POST /faults": self.faults.configure,
            }
        )

    def _read(self, req: WebRequest) -> WebAnswer:
        part = self.model.read(req.query["name"], int(req.query["offset"]))
        body = {
            "n_bytes": part.n_bytes,
            "n_granted": part.n_granted,
            "wait_s": part.wait_s,
        }
        return WebAnswer(body)
