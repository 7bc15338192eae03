"""Refuse streams that a stopping gateway can't finish."""

from collections.abc import Iterator

from ...core import Decision, Drain, Handlers, Message
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..duration import DurationForecast
from ..messages import Matched

# Callers retry over a new connection, which the load balancer opens elsewhere.
RETRY_ELSEWHERE_S = 0.05


class RefuseAtStop:
    """Filter that refuses streams whose forecast end is after the process is killed.

    It answers planned stops under load: until the load balancer notices, callers still
    come, and a stream that is cut is lost, while one that is refused at once is served
    by another gateway.

    Args:
        drain: Tells whether and how soon the process ends.
        forecast: Forecasts how long a stream takes.
    """

    __slots__ = ("_drain", "_forecast", "handlers")

    def __init__(self, drain: Drain, forecast: DurationForecast) -> None:
        self._drain = drain
        self._forecast = forecast
        self.handlers: Handlers = {Matched: self._on_matched}

    def _on_matched(self, msg: Matched) -> Iterator[Message]:
        request = msg.request
        left_s = self._drain.left_s
        if left_s is None or not request.route.is_stream or request.n_attempts:
            yield msg
            return
        needed_s = self._forecast.seconds(request)
        if needed_s is None or needed_s <= left_s:
            yield msg
            return
        yield Decision(
            "refused",
            request_id=request.request_id,
            reason=ErrorKind.DRAINING.value,
            left_s=round(left_s, 3),
            needed_s=round(needed_s, 3),
        )
        yield ReplyFailed(
            request.call_id, ErrorKind.DRAINING, retry_after_s=RETRY_ELSEWHERE_S
        )
