"""Hold what the planner's filters share."""

from ..core import Clock, Identifiers
from .messages import WritePlanTable
from .plan import Lease, Plan

LEASE_DURATION_S = 15.0
MAX_UNRESOLVED = 64


class Duty:
    """The state of one process with regard to the planner's duty.

    Args:
        holder: Identifier of this process; a new process has a new one.
        clock: Source of time.
        identifiers: Source of tokens.
        duration_s: How long a lease holds after its write was sent.

    Attributes:
        duration_s: The same.
        lease: The lease row as last read or written, None if absent.
        lease_seen_at: Monotonic seconds when its revision was first seen.
        plan: The plan in force, None before the first.
        held_until: Monotonic seconds until which this process holds the lease.
        first_plan_at: Monotonic seconds before which it may not plan.
        pending: Write whose answer has not come yet.
        sent: Monotonic seconds of each unresolved write by its token.
    """

    __slots__ = (
        "_clock",
        "_identifiers",
        "duration_s",
        "first_plan_at",
        "held_until",
        "holder",
        "lease",
        "lease_seen_at",
        "pending",
        "plan",
        "sent",
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
        self.held_until = float("-inf")
        self.first_plan_at = 0.0
        self.pending: WritePlanTable | None = None
        self.sent: dict[str, float] = {}

    @property
    def is_held(self) -> bool:
        """Return whether this process holds the lease now."""
        return self._clock.now() < self.held_until

    @property
    def may_plan(self) -> bool:
        """Return whether this process may write a plan now."""
        if self.pending is not None or not self.is_held:
            return False
        return self._clock.now() >= self.first_plan_at

    @property
    def plan_revision(self) -> int:
        """Return the revision of the plan in force, 0 for none."""
        return self.plan.revision if self.plan else 0

    def write(self, plan: Plan | None, *, holder: str | None = None) -> WritePlanTable:
        """Return the write that takes or renews the lease, and keep it pending.

        Args:
            plan: A new plan to write in the same transaction.
            holder: Who shall hold the lease, this process by default.
        """
        now = self._clock.now()
        lease = Lease(
            0,
            self.holder if holder is None else holder,
            self._identifiers.new(),
            self.duration_s,
        )
        revision = self.lease.revision if self.lease else 0
        not_after = self.held_until if self.is_held else now + self.duration_s
        self.pending = WritePlanTable(
            lease, revision, plan, self.plan_revision, not_after
        )
        if len(self.sent) >= MAX_UNRESOLVED:
            del self.sent[next(iter(self.sent))]
        self.sent[lease.token] = now
        return self.pending
