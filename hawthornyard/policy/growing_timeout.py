"""Give calls that were cut off more time at the next try."""

GROWTH = 2.0
"""Factor by which the timeout grows, and margin over the time that a call has taken."""


class GrowingTimeout:
    """Timeout of a call that grows until the call succeeds.

    A retry with the same timeout never succeeds if the response takes longer.

    Args:
        first_s: Smallest timeout in seconds.
        max_s: Largest timeout in seconds.

    Attributes:
        seconds: Timeout of the next call.
    """

    __slots__ = ("_first_s", "_max_s", "seconds")

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self.seconds = first_s

    def note_cut(self) -> None:
        """Note that a call was cut off while its response arrived."""
        self.seconds = min(self._max_s, GROWTH * self.seconds)

    def note_success(self, took_s: float) -> None:
        """Note that a response arrived whole in `took_s` seconds."""
        self.seconds = min(self._max_s, max(self._first_s, GROWTH * took_s))
