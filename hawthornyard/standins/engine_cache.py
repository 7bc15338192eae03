"""Model a bounded prefix cache whose change events are delayed and may be lost."""

from collections import OrderedDict, deque

from ..core import Message, RandomSource

MAX_EVENTS = 1024


class CacheEvent(Message):
    """One change of the prefix cache.

    Attributes:
        number: Sequence number; a lost event leaves a gap.
        prefix: Name of the prefix.
        is_stored: True if the prefix was stored, False if it was evicted.
        published_at: Monotonic seconds from which on readers see the event.
    """

    __slots__ = ("number", "prefix", "is_stored", "published_at")

    def __init__(
        self, number: int, prefix: str, is_stored: bool, published_at: float
    ) -> None:
        self.number = number
        self.prefix = prefix
        self.is_stored = is_stored
        self.published_at = published_at


class PrefixCache:
    """A least-recently-used cache of prompt prefixes.

    Args:
        capacity_tokens: Tokens that the cache holds at most.
        lag_s: Seconds until a change is published.
        loss_ratio: Share of changes that are never published, 0 to 1.
        random_source: Source of randomness.
    """

    __slots__ = (
        "_events",
        "_free_tokens",
        "_lag_s",
        "_last_number",
        "_loss_ratio",
        "_random_source",
        "_sizes",
    )

    def __init__(
        self,
        capacity_tokens: int,
        lag_s: float,
        loss_ratio: float,
        random_source: RandomSource,
    ) -> None:
        self._free_tokens = capacity_tokens
        self._lag_s = lag_s
        self._loss_ratio = loss_ratio
        self._random_source = random_source
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._last_number = 0

    def use(self, prefix: str, n_tokens: int, now: float) -> int:
        """Look a prefix up, and store it if it is missing and not over the capacity.

        Args:
            prefix: Name of the prefix, empty for none.
            n_tokens: Tokens of the prefix.
            now: Monotonic seconds.

        Returns:
            Tokens that were cached and need no prefill.
        """
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
        """Return the events with a larger number that are published by now."""
        return [
            event
            for event in self._events
            if event.number > number and event.published_at <= now
        ]

    def _store(self, prefix: str, n_tokens: int, now: float) -> None:
        if n_tokens > self._free_tokens + sum(self._sizes.values()):
            return
        while n_tokens > self._free_tokens:
            self._evict(now)
        self._sizes[prefix] = n_tokens
        self._free_tokens -= n_tokens
        self._publish(prefix, True, now)

    def _evict(self, now: float) -> None:
        prefix, n_tokens = self._sizes.popitem(last=False)
        self._free_tokens += n_tokens
        self._publish(prefix, False, now)

    def _publish(self, prefix: str, is_stored: bool, now: float) -> None:
        self._last_number += 1
        if self._random_source.random() < self._loss_ratio:
            return
        event = CacheEvent(self._last_number, prefix, is_stored, now + self._lag_s)
        self._events.append(event)
