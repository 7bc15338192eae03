"""Hold the state that the planner's filters share."""

from ..core import Clock, Identifiers
from .messages import WritePlanTable
from .plan import Lease, Plan

LEASE_DURATION_S = 15.0
# With more writes of unknown outcome than this, the oldest is forgotten.
MAX_UNRESOLVED_WRITES = 64


class PlannerState:
    """What one process knows of the lease and the plan, and its pending write.

    Args:
        holder: Identifier of this process; a new process has a new one.
        clock: Source of time.
        identifiers: Source of the tokens that identify writes.
        duration_s: Seconds that a lease is valid from when its write was sent.

    Attributes:
        duration_s: Seconds that a lease is valid from when its write was sent.
        lease: The lease row as last read or written, None if absent.
        lease_seen_at: Monotonic seconds when the revision of the lease was first
            seen.
        plan: The plan in force, None before the first.
        lease_held_until: Monotonic seconds until which this process holds the lease.
        earliest_plan_at: Monotonic seconds before which it may not plan.
        pending_write: Write that waits for its reply, None for none.
        sent_at_by_token: Monotonic seconds when each write with an unresolved
            outcome was sent, by its token.
    """

    __slots__ = (
        "_clock",
        "_identifiers",
        "duration_s",
        "earliest_plan_at",
        "holder",
        "lease",
        "lease_held_until",
        "lease_seen_at",
        "pending_write",
        "plan",
        "sent_at_by_token",
    )

    def __init__(
        self,
        holder: str,
        clock: Clock,
        identifiers: Identifiers,
        *,
        duration_s: float = LEASE_DURATION_S,
    ) -> None:
        self.holder = holder
        self._clock = clock
        self._identifiers = identifiers
        self.duration_s = duration_s
        self.lease: Lease | None = None
        self.lease_seen_at = clock.now()
        self.plan: Plan | None = None
        self.lease_held_until = float("-inf")
        self.earliest_plan_at = 0.0
        self.pending_write: WritePlanTable | None = None
        self.sent_at_by_token: dict[str, float] = {}

    @property
    def holds_lease(self) -> bool:
        """Return whether this process holds the lease now."""
        return self._clock.now() < self.lease_held_until

    @property
    def may_plan(self) -> bool:
        """Return whether this process may write a plan now."""
        if self.pending_write is not None or not self.holds_lease:
            return False
        return self._clock.now() >= self.earliest_plan_at

    @property
    def plan_revision(self) -> int:
        """Return the revision of the plan in force, 0 for none."""
        return self.plan.revision if self.plan else 0

    def prepare_write(
        self, plan: Plan | None, *, holder: str | None = None
    ) -> WritePlanTable:
        """Prepare the write that takes, renews or gives back the lease, and record it.

        Args:
            plan: Plan to write in the same transaction, None to leave the row.
            holder: Next holder of the lease, None for this process; an empty
                text gives the lease back.
        """
        now = self._clock.now()
        lease = Lease(
            0,
            self.holder if holder is None else holder,
            self._identifiers.new(),
            self.duration_s,
        )
        revision = self.lease.revision if self.lease else 0
        not_after = self.lease_held_until if self.holds_lease else now + self.duration_s
        self.pending_write = WritePlanTable(
            lease, revision, plan, self.plan_revision, not_after
        )
        if len(self.sent_at_by_token) >= MAX_UNRESOLVED_WRITES:
            del self.sent_at_by_token[next(iter(self.sent_at_by_token))]
        self.sent_at_by_token[lease.token] = now
        return self.pending_write
