"""Inject faults into the stand-ins of the platform's services."""

import eventlet

from ..core import Clock
from ..policy import TokenBucket
from .web import Handler, WebAnswer, WebRequest


class Faults:
    """The injected faults of a stand-in platform service, all off at the start.

    Args:
        clock: Source of time for the rate limits.

    Attributes:
        is_down: Whether every call is answered with status 503.
        delay_s: Seconds to wait before each call is carried out.
        lose_replies: Number of next writes that are answered with status 503 after
            they were carried out, as if the reply were lost.
        lag_s: Seconds by which the host list is behind; only host lists use it.
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
        """Set all faults from a request; a fault that it does not name is off.

        Besides the attributes, the body may have reads_per_s and writes_per_s: rate
        limits, above which a call is answered with status 429; 0 for no limit.
        """
        body = req.json()
        self.is_down = bool(body.get("is_down", False))
        self.delay_s = float(body.get("delay_s", 0.0))
        self.lose_replies = int(body.get("lose_replies", 0))
        self.lag_s = float(body.get("lag_s", 0.0))
        self._read_limit = self._new_limit(float(body.get("reads_per_s", 0.0)))
        self._write_limit = self._new_limit(float(body.get("writes_per_s", 0.0)))
        return WebAnswer({})

    def wrap_read(self, handler: Handler) -> Handler:
        """Return a handler that applies the faults of a read before `handler`."""

        def handle(req: WebRequest) -> WebAnswer:
            return self._fault_answer(self._read_limit) or handler(req)

        return handle

    def wrap_write(self, handler: Handler) -> Handler:
        """Return a handler that applies the faults of a write around `handler`."""

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
