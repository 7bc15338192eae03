"""Track the request rate that an endpoint names as its limit."""


class NamedLimit:
    """The limit that an endpoint named last.

    An answer tells what held at some moment between its request and its arrival. Of two
    answers whose spans overlap, the stricter one holds.

    Attributes:
        per_s: Requests a second from all gateways together, None for no limit.
        asked_at: Monotonic time in seconds at which the request was sent whose answer
            named it.
        heard_at: Monotonic time in seconds at which an answer named it last.
    """

    __slots__ = ("asked_at", "heard_at", "per_s")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.asked_at = float("-inf")
        self.heard_at = float("-inf")

    def learn(self, per_s: float | None, asked_at: float, heard_at: float) -> bool:
        """Record what an answer says.

        Args:
            per_s: Requests a second, None if the answer names no limit.
            asked_at: Monotonic time in seconds at which its request was sent.
            heard_at: Monotonic time in seconds at which it arrived.

        Returns:
            Whether the limit has changed.
        """
        if heard_at < self.asked_at:
            return False
        is_newer = asked_at > self.heard_at
        if not is_newer and per_s != self.per_s and not self._is_stricter(per_s):
            return False
        has_changed = per_s != self.per_s
        self.per_s = per_s
        self.asked_at = max(asked_at, self.asked_at)
        self.heard_at = max(heard_at, self.heard_at)
        return has_changed

    def _is_stricter(self, per_s: float | None) -> bool:
        return per_s is not None and (self.per_s is None or per_s < self.per_s)
