"""Count the responses of both versions of a service at one gateway."""

from collections.abc import Sequence

from ..frames import RolloutTally
from ..rollout import MAX_PERIODS, Evidence, Tally

# Reports that repeat a changed count, so that one lost datagram loses none.
N_REPEATS = 2


class ResponseCounts:
    """Responses that one gateway counted, by the period in which requests were sent.

    Args:
        length_s: Length of a period in seconds.

    Attributes:
        evidence: The same responses, for the gateway's own verdict.
        n_bad_new: Failed responses of the new version.
    """

    __slots__ = ("_by_period", "_length_s", "_unsent", "evidence", "n_bad_new")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._by_period: dict[int, dict[tuple[str, bool], Tally]] = {}
        self._unsent: dict[int, int] = {}
        self.evidence = Evidence(length_s)
        self.n_bad_new = 0

    def period(self, at: float) -> int:
        """Return the number of the period of a monotonic time."""
        return int(at / self._length_s)

    def note(self, sent_at: float, route: str, *, is_new: bool, tally: Tally) -> None:
        """Count responses to requests that were sent at a time."""
        period = self.period(sent_at)
        tallies = self._by_period.setdefault(period, {})
        key = (route, is_new)
        tallies[key] = tallies.get(key, Tally()).plus(tally)
        self._unsent[period] = N_REPEATS
        self.evidence.add(sent_at, route, is_new=is_new, tally=tally)
        if is_new:
            self.n_bad_new += tally.n_bad

    def send_all_again(self) -> None:
        """Report all counts once more, to another holder."""
        self._unsent = dict.fromkeys(self._by_period, N_REPEATS)

    def take_changed(self, now: float) -> Sequence[RolloutTally]:
        """Return the counts of the periods that changed, to be sent."""
        present = self.period(now)
        changed = [
            RolloutTally(present - period, route, is_new, *tally.values())
            for period in self._unsent
            if present - period <= MAX_PERIODS
            for (route, is_new), tally in self._by_period[period].items()
        ]
        self._unsent = {
            period: left - 1 for period, left in self._unsent.items() if left > 1
        }
        return changed


class GatheredCounts:
    """Responses that the holder of a rollout has heard of.

    Args:
        length_s: Length of a period in seconds.

    Attributes:
        evidence: All responses.
    """

    __slots__ = ("_length_s", "_seen", "evidence")

    def __init__(self, length_s: float) -> None:
        self._length_s = length_s
        self._seen: dict[tuple[str, int, str, bool], tuple[float, Tally]] = {}
        self.evidence = Evidence(length_s)

    def add(
        self, gateway: str, period: int, tallies: Sequence[RolloutTally], now: float
    ) -> None:
        """Add what is new in the counts of a gateway.

        Args:
            gateway: Name of the gateway.
            period: Number of its present period.
            tallies: Its counts, which contain those of its earlier reports.
            now: Monotonic time in seconds.
        """
        for item in tallies:
            if item.periods_ago < 0 or min(item.n, item.n_bad, item.n_timed) < 0:
                continue
            tally = Tally(
                item.n, item.n_bad, item.n_timed, item.sum_log, item.sum_log_sq
            )
            key = (gateway, period - item.periods_ago, item.route, item.is_new)
            sent_at = max(0.0, now - item.periods_ago * self._length_s)
            sent_at, before = self._seen.get(key, (sent_at, Tally()))
            change = tally.minus(before)
            if tally.n < before.n:
                # The gateway has started anew and counts from 0.
                change = tally
            self._seen[key] = (sent_at, tally)
            if change.n or change.n_timed:
                self.evidence.add(sent_at, item.route, is_new=item.is_new, tally=change)
