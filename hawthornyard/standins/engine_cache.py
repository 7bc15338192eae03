"""Model a bounded prefix cache that publishes its changes late and with gaps."""

from collections import OrderedDict, deque

from ..core import Message, RandomSource

MAX_EVENTS = 1024


class CacheEvent(Message):
    """One published change of the prefix cache.

    Attributes:
        number: Position; a lost event leaves a gap.
        prefix: Name of the prefix.
        is_stored: True if it was stored, False if it was evicted.
        due_at: Monotonic seconds of publication.
    """

    __slots__ = ("number", "prefix", "is_stored", "due_at")

    def __init__(
        self, number: int, prefix: str, is_stored: bool, due_at: float
    ) -> None:
        self.number = number
        self.prefix = prefix
        self.is_stored = is_stored
        self.due_at = due_at


class PrefixCache:
    """Keep the prefixes that were used last.

    Args:
        n_tokens: Tokens that fit.
        lag_s: Seconds until a change is published.
        loss: Share of changes that are never published.
        chance: Source of randomness.
    """

    __slots__ = ("_chance", "_events", "_free", "_lag_s", "_loss", "_number", "_sizes")

    def __init__(
        self, n_tokens: int, lag_s: float, loss: float, chance: RandomSource
    ) -> None:
        self._free = n_tokens
        self._lag_s = lag_s
        self._loss = loss
        self._chance = chance
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    def use(self, prefix: str, n_tokens: int, now: float) -> int:
        """Return the tokens that need no prefill, and keep the prefix from now on."""
        if not prefix:
            return 0
        if prefix in self._sizes:
            self._sizes.move_to_end(prefix)
            return min(n_tokens, self._sizes[prefix])
        self._store(prefix, n_tokens, now)
        return 0

    def clear(self, now: float) -> None:
        """Evict every prefix."""
        while self._sizes:
            self._evict(now)

    def events_after(self, number: int, now: float) -> list[CacheEvent]:
        """Return the published events with a larger number."""
        return [
            event
            for event in self._events
            if event.number > number and event.due_at <= now
        ]

    def _store(self, prefix: str, n_tokens: int, now: float) -> None:
        if n_tokens > self._free + sum(self._sizes.values()):
            return
        while n_tokens > self._free:
            self._evict(now)
        self._sizes[prefix] = n_tokens
        self._free -= n_tokens
        self._publish(prefix, True, now)

    def _evict(self, now: float) -> None:
        prefix, n_tokens = self._sizes.popitem(last=False)
        self._free += n_tokens
        self._publish(prefix, False, now)

    def _publish(self, prefix: str, is_stored: bool, now: float) -> None:
        self._number += 1
        if self._chance.random() < self._loss:
            return
        event = CacheEvent(self._number, prefix, is_stored, now + self._lag_s)
        self._events.append(event)
