"""Define the messages between the planner's filters and the table."""

from ..core import Message
from .plan import Lease, Plan


class ReadPlanTable(Message):
    """A request to the platform to read the lease and the plan."""

    __slots__ = ()


class PlanTableRead(Message):
    """The lease and the plan as read from the table.

    Attributes:
        lease: The lease, None if its row is absent.
        plan: The plan, None if its row is absent.
    """

    __slots__ = ("lease", "plan")

    def __init__(self, lease: Lease | None, plan: Plan | None) -> None:
        self.lease = lease
        self.plan = plan


class WritePlanTable(Message):
    """A request to the platform to write the lease, and a plan if given.

    The write is one transaction, conditional on the revision of each row written.

    Attributes:
        lease: The new lease.
        lease_revision: Expected revision of the lease row, 0 if absent.
        plan: The new plan, None to leave the row.
        plan_revision: Expected revision of the plan row, 0 if absent; without a
            plan it is not checked.
        not_after: Monotonic seconds from which the write may not be sent.
    """

    __slots__ = ("lease", "lease_revision", "plan", "plan_revision", "not_after")

    def __init__(
        self,
        lease: Lease,
        lease_revision: int,
        plan: Plan | None,
        plan_revision: int,
        not_after: float,
    ) -> None:
        self.lease = lease
        self.lease_revision = lease_revision
        self.plan = plan
        self.plan_revision = plan_revision
        self.not_after = not_after


class PlanTableWritten(Message):
    """The reply that a write took effect.

    Attributes:
        token: Token of the lease that was written.
        revision: Revision of the rows that were written.
    """

    __slots__ = ("token", "revision")

    def __init__(self, token: str, revision: int) -> None:
        self.token = token
        self.revision = revision


class PlanTableRefused(Message):
    """The reply that a write certainly had no effect.

    Attributes:
        token: Token of the lease that was to be written.
        detail: Reason of the refusal.
    """

    __slots__ = ("token", "detail")

    def __init__(self, token: str, detail: str) -> None:
        self.token = token
        self.detail = detail


class PlanTableOutcomeUnknown(Message):
    """The outcome of a write is unknown and must be read from the table.

    Attributes:
        token: Token of the lease that was to be written.
    """

    __slots__ = ("token",)

    def __init__(self, token: str) -> None:
        self.token = token


class PlanChanged(Message):
    """A newer plan came into force in this process.

    Attributes:
        plan: The newer plan.
    """

    __slots__ = ("plan",)

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
