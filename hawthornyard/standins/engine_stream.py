"""Count the output of one generation and wake its readers."""

from collections.abc import Iterator

from eventlet.queue import LightQueue


class TokenStream:
    """The output of one generation, which readers follow from any offset.

    Args:
        finish_reason: Finish reason, "length" or "stop".

    Attributes:
        finish_reason: Finish reason that readers are told after the last token.
        n_done: Tokens generated so far.
        is_over: Whether no further token follows.
        was_cancelled: Whether the generation was cancelled before its last token.
    """

    __slots__ = (
        "_readers",
        "finish_reason",
        "is_over",
        "n_done",
        "was_cancelled",
    )

    def __init__(self, finish_reason: str) -> None:
        self.finish_reason = finish_reason
        self.n_done = 0
        self.is_over = False
        self.was_cancelled = False
        self._readers: list[LightQueue] = []

    @property
    def n_readers(self) -> int:
        """Return the number of readers that follow the stream."""
        return len(self._readers)

    def add(self, *, is_last: bool) -> None:
        """Add one token."""
        self.n_done += 1
        self.is_over = is_last
        self._wake_readers()

    def cancel(self) -> None:
        """End the stream before its last token; ignore one that is over."""
        if not self.is_over:
            self.is_over = True
            self.was_cancelled = True
            self._wake_readers()

    def read(self, offset: int) -> Iterator[int]:
        """Yield the index of each token from an offset on, waiting for new tokens."""
        wakeup = LightQueue()
        self._readers.append(wakeup)
        try:
            while True:
                while offset < self.n_done:
                    yield offset
                    offset += 1
                if self.is_over:
                    return
                wakeup.get()
        finally:
            self._readers.remove(wakeup)

    def _wake_readers(self) -> None:
        for wakeup in self._readers:
            if wakeup.empty():
                wakeup.put(None)
