"""Define the messages between the planner's filters and the table."""

from ..core import Message
from .plan import Lease, Plan


class AskPlanTable(Message):
    """A question to the platform: what are the lease and the plan now?"""

    __slots__ = ()


class PlanTableSeen(Message):
    """The lease and the plan as the table holds them.

    Attributes:
        lease: The lease, None if there never was one.
        plan: The plan, None if there never was one.
    """

    __slots__ = ("lease", "plan")

    def __init__(self, lease: Lease | None, plan: Plan | None) -> None:
        self.lease = lease
        self.plan = plan


class WritePlanTable(Message):
    """An order to the platform: write the lease, and perhaps a plan, or nothing.

    Attributes:
        lease: The lease as it shall be.
        lease_revision: Revision at which the lease row must stand.
        plan: The plan as it shall be, None to leave it.
        plan_revision: Revision at which the plan row must stand.
        not_after: Monotonic seconds after which nothing may be sent.
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
    """A write took effect.

    Attributes:
        token: Token of the lease that was written.
        revision: Revision of the rows.
    """

    __slots__ = ("token", "revision")

    def __init__(self, token: str, revision: int) -> None:
        self.token = token
        self.revision = revision


class PlanTableRefused(Message):
    """A write certainly had no effect.

    Attributes:
        token: Token of the lease that was to be written.
        detail: Why.
    """

    __slots__ = ("token", "detail")

    def __init__(self, token: str, detail: str) -> None:
        self.token = token
        self.detail = detail


class PlanTableUnknown(Message):
    """Whether a write took effect is not known; the table must be read."""

    __slots__ = ("token",)

    def __init__(self, token: str) -> None:
        self.token = token


class PlanChanged(Message):
    """A newer plan is in force.

    Attributes:
        plan: The plan.
    """

    __slots__ = ("plan",)

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
