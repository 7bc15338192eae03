"""Keep the requests of all gateways to an endpoint within the limit that it named."""

from ..core import Clock
from ..policy import TokenBucket

# Requests that may follow at once after a pause, in seconds of the limit.
BURST_S = 0.5
# An endpoint that takes less is still asked now and then: only its answers tell that
# the limit is over.
MIN_RATE_PER_S = 0.1
# Requests of another gateway that are charged at once, in seconds of the limit.
MAX_BACKLOG_S = 4.0
# Requests beyond the limit that streams may add which resume after a break.
RESUME_RESERVE = 2.0


class NamedLimit:
    """The limit that an endpoint named last, and what the gateways have used of it.

    An answer tells what held at some moment between its request and its arrival. Of two
    answers whose spans overlap, the stricter one holds.

    The gateways tell one another of each request, so that each counts the requests of
    all, and whichever has callers may use the whole limit.

    Args:
        clock: Source of time.

    Attributes:
        per_s: Requests a second from all gateways together, None for no limit.
        asked_at: Monotonic time in seconds at which the request was sent whose answer
            named it.
        heard_at: Monotonic time in seconds at which an answer named it last.
        n_sent: Requests that this gateway has sent to the endpoint.
    """

    __slots__ = (
        "_bucket",
        "_n_sent_by_gateway",
        "_share",
        "asked_at",
        "heard_at",
        "n_sent",
        "per_s",
    )

    def __init__(self, clock: Clock) -> None:
        self.per_s: float | None = None
        self.asked_at = float("-inf")
        self.heard_at = float("-inf")
        self.n_sent = 0
        self._share = 1.0
        self._n_sent_by_gateway: dict[str, int] = {}
        self._bucket = TokenBucket(0.0, clock, burst_s=BURST_S)

    @property
    def rate_per_s(self) -> float:
        """Return the rate that this gateway may use, infinite without a limit."""
        if self.per_s is None:
            return float("inf")
        return max(MIN_RATE_PER_S, self.per_s) * self._share

    @property
    def occupancy(self) -> float:
        """Return the share of the burst that is used up, 0 to 1."""
        if self.per_s is None:
            return 0.0
        return 1.0 - max(0.0, self._bucket.level) / self._bucket.capacity

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
        if has_changed and per_s is not None:
            self._bucket.set_rate(self.rate_per_s)
        return has_changed

    def set_share(self, share: float) -> None:
        """Set the share of the limit that the gateways heard from may use."""
        if share != self._share:
            self._share = share
            self._bucket.set_rate(self.rate_per_s if self.per_s is not None else 0.0)

    def wait_s(self) -> float:
        """Return the seconds until one more request is allowed, 0 if it is now."""
        return 0.0 if self.per_s is None else self._bucket.wait_s()

    def may_resume(self) -> bool:
        """Return whether a stream may resume there, if need be from the reserve."""
        return self.per_s is None or self._bucket.level >= 1.0 - RESUME_RESERVE

    def note_send(self) -> None:
        """Count a request of this gateway."""
        self.n_sent += 1
        self._charge(1)

    def note_sends_of(self, gateway: str, n_sent: int) -> None:
        """Count the requests of another gateway.

        Args:
            gateway: Name of the gateway.
            n_sent: Requests that it has sent in all; less than it told before if it has
                restarted.
        """
        n_known = self._n_sent_by_gateway.get(gateway)
        self._n_sent_by_gateway[gateway] = n_sent
        if n_known is None:
            self._charge(min(1, n_sent))
            return
        n_new = n_sent - n_known if n_sent >= n_known else 1
        # Requests that were not told of for longer no longer weigh on the endpoint.
        self._charge(min(n_new, MAX_BACKLOG_S * self.rate_per_s + 1))

    def _charge(self, n: float) -> None:
        if self.per_s is not None:
            self._bucket.charge(n)

    def _is_stricter(self, per_s: float | None) -> bool:
        return per_s is not None and (self.per_s is None or per_s < self.per_s)
