"""State that the holder of a rollout keeps while it holds the lease."""

from collections.abc import Sequence

from ...frames import RolloutCounts
from ...rollout import RolloutState, Step, decide, period_length_s
from ..rollout import Rollout
from ..rollout_counts import GatheredCounts

# A holder that does not renew its lease for so long is replaced. Calls of a slow store
# take 0.3 s, and a roll back must be written within seconds.
LEASE_S = 3.0
# Reports older than this do not tell that the old endpoints are idle.
IDLE_REPORT_S = 2.0


class StoreTime:
    """Estimate of the time of the store's clock, no earlier than the true one.

    Args:
        asked_at: Monotonic time in seconds at which the store was asked.
        now_ms: Time of its clock in the response, in milliseconds.
    """

    __slots__ = ("_asked_at", "_now_ms")

    def __init__(self, asked_at: float, now_ms: float) -> None:
        self._asked_at = asked_at
        self._now_ms = now_ms

    def at(self, now: float) -> float:
        """Return the store's time in milliseconds at a monotonic time in seconds."""
        return self._now_ms + (now - self._asked_at) * 1000.0


class Tenure:
    """Lease of one rollout and what its holder has gathered.

    Args:
        rollout: The rollout.
        state: State that the holder has written.
        version: Version of its row.
        store_time: Time of the store's clock.
        leased_until: Monotonic time in seconds at which the lease ends.

    Attributes:
        rollout: The rollout.
        state: State that was written last.
        version: Version of its row.
        store_time: Time of the store's clock.
        leased_until: Monotonic time in seconds at which the lease ends.
        counts: Responses that all gateways counted.
        is_uncertain: Whether the last write may or may not have been performed.
    """

    __slots__ = (
        "_idle_reports",
        "_sequences",
        "counts",
        "is_uncertain",
        "leased_until",
        "rollout",
        "state",
        "store_time",
        "version",
    )

    def __init__(
        self,
        rollout: Rollout,
        state: RolloutState,
        version: int,
        store_time: StoreTime,
        leased_until: float,
    ) -> None:
        self.rollout = rollout
        self.state = state
        self.version = version
        self.store_time = store_time
        self.leased_until = leased_until
        self.is_uncertain = False
        self.counts = GatheredCounts(period_length_s(state.duration_s))
        self._sequences: dict[str, int] = {}
        self._idle_reports: dict[str, tuple[int, float]] = {}

    def add(self, report: RolloutCounts, now: float) -> None:
        """Add what a gateway counted, unless a newer report of it is known.

        A gateway that starts anew has higher sequence numbers than before.
        """
        if report.sequence <= self._sequences.get(report.gateway, -1):
            return
        self._sequences[report.gateway] = report.sequence
        self._idle_reports[report.gateway] = (report.n_old_running, now)
        self.counts.add(report.gateway, report.period, report.tallies, now)

    def next_step(
        self, now: float, gateways: Sequence[str], n_own_running: int
    ) -> Step:
        """Return the phase and step that the rollout is to be in now.

        Args:
            now: Monotonic time in seconds.
            gateways: Names of the other gateways.
            n_own_running: Requests of the holder at old endpoints, -1 while these may
                get more.
        """
        reports = [self._idle_reports.get(name, (-1, 0.0)) for name in gateways]
        is_old_idle = n_own_running == 0 and all(
            n_running == 0 and now - heard_at < IDLE_REPORT_S
            for n_running, heard_at in reports
        )
        elapsed_s = (self.store_time.at(now) - self.state.started_ms) / 1000.0
        return decide(
            self.state,
            self.counts.evidence,
            elapsed_s=elapsed_s,
            now=now,
            is_old_idle=is_old_idle,
        )
