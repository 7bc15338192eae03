"""Note whether the store answers."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ..messages import StoreAnswered, StoreFailed

# A feed waits so long for changes and then answers without any; keys that were
# revoked are refused within seconds, so that the age of a confirmation counts.
LONG_POLL_S = 1.5


class FollowStore:
    """Tell the log when a feed of the store is lost or back.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_lost_at", "handlers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost_at: dict[str, float] = {}
        self.handlers: Handlers = {
            StoreAnswered: self._on_answered,
            StoreFailed: self._on_failed,
        }

    def _on_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        lost_at = self._lost_at.pop(msg.feed, None)
        if lost_at is not None:
            seconds = round(self._clock.now() - lost_at, 3)
            yield Decision("store_regained", feed=msg.feed, lost_s=seconds)
        yield msg

    def _on_failed(self, msg: StoreFailed) -> Iterator[Message]:
        if msg.feed not in self._lost_at:
            self._lost_at[msg.feed] = self._clock.now()
            yield Decision("store_lost", reason=msg.detail, feed=msg.feed)
        yield msg
