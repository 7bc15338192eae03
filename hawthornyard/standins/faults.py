"""Give the stand-ins of the platform faults that can be set."""

import eventlet

from ..core import Clock
from ..policy import TokenBucket
from .web import Handler, WebAnswer, WebRequest


class Faults:
    """Faults of a stand-in platform service.

    Args:
        clock: Source of time for the rate limits.

    Attributes:
        is_down: Answer every call with 503.
        delay_s: Wait before each call is carried out.
        lose_replies: Number of writes to come whose reply is lost.
        lag_s: Age of what the host list shows.
    """

    __slots__ = (
        "_clock",
        "_read_limit",
        "_write_limit",
        "delay_s",
        "is_down",
        "lag_s",
        "lose_replies",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._read_limit: TokenBucket | None = None
        self._write_limit: TokenBucket | None = None
        self.is_down = False
        self.delay_s = 0.0
        self.lose_replies = 0
        self.lag_s = 0.0

    def configure(self, req: WebRequest) -> WebAnswer:
        """Take all faults over from a request; one not named is off."""
        body = req.json()
        self.is_down = bool(body.get("is_down", False))
        self.delay_s = float(body.get("delay_s", 0.0))
        self.lose_replies = int(body.get("lose_replies", 0))
        self.lag_s = float(body.get("lag_s", 0.0))
        self._read_limit = self._new_limit(float(body.get("reads_per_s", 0.0)))
        self._write_limit = self._new_limit(float(body.get("writes_per_s", 0.0)))
        return WebAnswer({})

    def wrap_read(self, handler: Handler) -> Handler:
        """Return the route with the faults of a read."""

        def handle(req: WebRequest) -> WebAnswer:
            return self._fault_answer(self._read_limit) or handler(req)

        return handle

    def wrap_write(self, handler: Handler) -> Handler:
        """Return the route with the faults of a write."""

        def handle(req: WebRequest) -> WebAnswer:
            fault_answer = self._fault_answer(self._write_limit)
            if fault_answer is not None:
                return fault_answer
            return self._lose_reply(handler(req))

        return handle

    def _fault_answer(self, limit: TokenBucket | None) -> WebAnswer | None:
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if self.is_down:
            return _unavailable()
        if limit is not None and not limit.take():
            return WebAnswer({"detail": "over the rate limit"}, status=429)
        return None

    def _lose_reply(self, answer: WebAnswer) -> WebAnswer:
        if answer.status != 200 or self.lose_replies == 0:
            return answer
        self.lose_replies -= 1
        return _unavailable()

    def _new_limit(self, rate: float) -> TokenBucket | None:
        return TokenBucket(rate, self._clock) if rate else None


def _unavailable() -> WebAnswer:
    return WebAnswer({"detail": "down"}, status=503)
