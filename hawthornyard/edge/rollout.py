"""Hold what one gateway knows of the rollout of one service."""

from ..rollout import RUNNING as RUNNING_STRICTNESS
from ..rollout import (
    Exposure,
    Phase,
    RolloutOrder,
    RolloutState,
    Verdict,
    judge,
    period_length_s,
    share_of,
)
from .endpoints import Endpoint
from .messages import Attempt
from .rollout_counts import ResponseCounts

# Part of the bound on the time to a roll back for which a share that the holder told
# may be used: a gateway that is cut off then still stops in time.
GRANT_PART = 0.6


class RolloutBounds:
    """Bounds that the platform sets on rollouts.

    Attributes:
        share: Largest share of a service's requests that a bad version may get.
        slack: Requests that it may get in addition, from all gateways.
        rollback_s: Seconds after its 50th bad response until it gets none.
    """

    __slots__ = ("rollback_s", "share", "slack")

    def __init__(self, share: float, slack: float, rollback_s: float) -> None:
        self.share = share
        self.slack = slack
        self.rollback_s = rollback_s


class Break:
    """A broken attempt that is not counted yet."""

    __slots__ = ("at", "attempt", "endpoint", "is_new", "route")

    def __init__(
        self, at: float, attempt: Attempt, route: str, endpoint: Endpoint, is_new: bool
    ) -> None:
        self.at = at
        self.attempt = attempt
        self.route = route
        self.endpoint = endpoint
        self.is_new = is_new


class Rollout:
    """Rollout of one service as one gateway knows it.

    Args:
        order: The order.
        bounds: Bounds of the platform.
        n_gateways: Gateways that share the slack.
        now: Monotonic time in seconds.

    Attributes:
        order: The order.
        state: Newest state that is known, None before the first.
        granted_until: Monotonic time in seconds until which the share of the test
            phase may be used.
        own_verdict: Verdict of this gateway's own counts once they are bad, else None.
        counts: Responses that this gateway counted.
        breaks: Broken attempts that are not counted yet.
        exposure: Credit for requests to the new version.
        refused_revision: Number of the write of the last order that was refused while
            this one ran, 0 for none.
        rollback_s: Seconds after its 50th bad response until it gets none.
        cold_attempts: Attempts at endpoints that were cold, whose times say nothing.
        first_seen_at: Monotonic time in seconds at which the order was read.
    """

    __slots__ = (
        "_bounds",
        "breaks",
        "cold_attempts",
        "counts",
        "exposure",
        "first_seen_at",
        "granted_until",
        "order",
        "own_verdict",
        "refused_revision",
        "rollback_s",
        "state",
    )

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        n_gateways: int,
        now: float,
    ) -> None:
        self.first_seen_at = now
        self.refused_revision = 0
        self.rollback_s = bounds.rollback_s
        self.cold_attempts: set[str] = set()
        self.breaks: list[Break] = []
        self.order = order
        self._bounds = bounds
        self.state: RolloutState | None = None
        self.granted_until = float("-inf")
        self.own_verdict: Verdict | None = None
        self.counts = ResponseCounts(period_length_s(order.duration_s))
        self.exposure = Exposure(bounds.slack, n_gateways)

    @property
    def to(self) -> str:
        """Return the version that is to get the traffic."""
        return self.order.to

    @property
    def phase(self) -> Phase | None:
        """Return the phase, None while it is unknown."""
        return self.state.phase if self.state is not None else None

    @property
    def is_over(self) -> bool:
        """Return whether the rollout is known to have ended."""
        return self.state is not None and self.state.phase.is_final

    def grant(self, now: float) -> None:
        """Allow the present share for some time."""
        self.granted_until = now + GRANT_PART * self.rollback_s

    def share(self, now: float) -> float:
        """Return the share of the requests that the new version may get now."""
        if self.state is None:
            return 0.0
        phase = self.state.phase
        if phase is not Phase.SUCCEEDED and self.own_verdict is not None:
            return 0.0
        if phase is Phase.TEST and now >= self.granted_until:
            return 0.0
        return share_of(phase, self.state.step, self._bounds.share)

    def learn(self, state: RolloutState) -> bool:
        """Take over a state unless a newer one is known; a final one is kept.

        Returns:
            Whether the state was taken over.
        """
        known = self.state
        if known is not None and known.phase.is_final:
            return False
        is_back = state.phase is Phase.ROLLED_BACK
        if known is not None and not is_back and _rank(state) <= _rank(known):
            return False
        self.state = state
        if state.phase.is_final:
            self.cold_attempts.clear()
            self.breaks.clear()
        return True

    def is_of(self, state: RolloutState) -> bool:
        """Return whether a state is that of this order."""
        is_same_write = state.order_revision == self.order.revision
        return state.to == self.to and (is_same_write or self.state is not None)

    def judge_own(self) -> bool:
        """Judge this gateway's own counts.

        Returns:
            Whether they show, for the first time, that the new version is bad.
        """
        if self.own_verdict is not None or self.is_over:
            return False
        verdict = judge(self.counts.evidence.all(), RUNNING_STRICTNESS)
        if verdict.is_bad:
            self.own_verdict = verdict
        return verdict.is_bad


def _rank(state: RolloutState) -> tuple[int, int, int]:
    phases = (Phase.TEST, Phase.MOVE, Phase.SUCCEEDED, Phase.ROLLED_BACK)
    return state.number, phases.index(state.phase), state.step
