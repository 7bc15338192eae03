"""Give the stand-ins of the platform faults that can be set."""

import eventlet

from ..core import Clock
from ..policy import TokenBucket
from .web import Route, WebAnswer, WebRequest


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
        "_reads",
        "_writes",
        "delay_s",
        "is_down",
        "lag_s",
        "lose_replies",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reads: TokenBucket | None = None
        self._writes: TokenBucket | None = None
        self.is_down = False
        self.delay_s = 0.0
        self.lose_replies = 0
        self.lag_s = 0.0

    def set(self, req: WebRequest) -> WebAnswer:
        """Take all faults over from a request; one not named is off."""
        body = req.json()
        self.is_down = bool(body.get("is_down", False))
        self.delay_s = float(body.get("delay_s", 0.0))
        self.lose_replies = int(body.get("lose_replies", 0))
        self.lag_s = float(body.get("lag_s", 0.0))
        self._reads = self._bucket(float(body.get("reads_per_s", 0.0)))
        self._writes = self._bucket(float(body.get("writes_per_s", 0.0)))
        return WebAnswer({})

    def reading(self, route: Route) -> Route:
        """Return the route with the faults of a read."""

        def guarded(req: WebRequest) -> WebAnswer:
            return self._refusal(self._reads) or route(req)

        return guarded

    def writing(self, route: Route) -> Route:
        """Return the route with the faults of a write."""

        def guarded(req: WebRequest) -> WebAnswer:
            refusal = self._refusal(self._writes)
            if refusal is not None:
                return refusal
            return self._lose(route(req))

        return guarded

    def _refusal(self, bucket: TokenBucket | None) -> WebAnswer | None:
        if self.delay_s:
            eventlet.sleep(self.delay_s)
        if self.is_down:
            return _down()
        if bucket is not None and not bucket.take():
            return WebAnswer({"detail": "over the rate limit"}, status=429)
        return None

    def _lose(self, answer: WebAnswer) -> WebAnswer:
        if answer.status != 200 or self.lose_replies == 0:
            return answer
        self.lose_replies -= 1
        return _down()

    def _bucket(self, rate: float) -> TokenBucket | None:
        return TokenBucket(rate, self._clock) if rate else None


def _down() -> WebAnswer:
    return WebAnswer({"detail": "down"}, status=503)
