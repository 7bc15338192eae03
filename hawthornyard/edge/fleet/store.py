"""Log whether the store is reachable."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ..messages import StoreAnswered, StoreFailed, StoreRestored

# Long-poll timeout: after it a feed is answered without changes, which confirms what is
# known. It is short, since revoked keys must be refused and leaving endpoints be left
# within seconds, also when a connection to the store has gone silent.
LONG_POLL_S = 1.5
# Time after the store's return in which what it lost, or what expired meanwhile, is
# published again.
STORE_RECOVERY_S = 2.0
# Least time between two log lines of failed calls of one feed.
FAILED_CALL_LOG_INTERVAL_S = 1.0


class FollowStore:
    """Filter that logs when a feed of the store is lost and when it is back.

    Further failed calls of an outage are logged at a bounded rate.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_logged_at", "_lost_at", "handlers")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lost_at: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self.handlers: Handlers = {
            StoreAnswered: self._on_store_answered,
            StoreFailed: self._on_store_failed,
            StoreRestored: self._on_store_restored,
        }

    def _on_store_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        lost_at = self._lost_at.pop(msg.feed, None)
        if lost_at is not None:
            seconds = round(self._clock.now() - lost_at, 3)
            yield Decision("store_regained", feed=msg.feed, lost_s=seconds)
        yield msg

    def _on_store_failed(self, msg: StoreFailed) -> Iterator[Message]:
        now = self._clock.now()
        is_first = msg.feed not in self._lost_at
        if is_first:
            self._lost_at[msg.feed] = now
        if is_first or now - self._logged_at[msg.feed] >= FAILED_CALL_LOG_INTERVAL_S:
            self._logged_at[msg.feed] = now
            yield Decision(
                "store_lost" if is_first else "store_call_failed",
                reason=msg.detail,
                feed=msg.feed,
                waited_s=round(now - msg.sent_at, 3),
                lost_s=round(now - self._lost_at[msg.feed], 3),
                after_version=msg.after_version,
                n_received=msg.n_received,
            )
        yield msg

    def _on_store_restored(self, msg: StoreRestored) -> Iterator[Message]:
        yield Decision("store_restored", feed=msg.feed, era=msg.era)
        yield msg
