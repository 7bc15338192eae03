"""Define the plan and the lease, each one row of the platform's table."""

from collections.abc import Mapping

from ..core import Message
from ..frames import PlanEntry

# Roles of an endpoint in the plan.
SERVING = "serving"
SPARE = "spare"


class Plan(Message):
    """Which endpoint holds which models, in which role.

    Attributes:
        revision: Revision of the row, which is the fencing number of every order;
            0 for a plan that is not written yet.
        entries: Entry of each endpoint in the plan, by its name.
    """

    __slots__ = ("revision", "entries")

    def __init__(self, revision: int, entries: Mapping[str, PlanEntry]) -> None:
        self.revision = revision
        self.entries = entries


class Lease(Message):
    """The right of one process to write the plan for a limited time.

    Attributes:
        revision: Revision of the row, 0 for a lease that is not written yet.
        holder: Process that holds the lease, empty once it was given back.
        token: Identifier of the write; tells after a lost reply whether the
            write took effect.
        duration_s: Seconds that the lease is valid from when its write was sent.
    """

    __slots__ = ("revision", "holder", "token", "duration_s")

    def __init__(
        self, revision: int, holder: str, token: str, duration_s: float
    ) -> None:
        self.revision = revision
        self.holder = holder
        self.token = token
        self.duration_s = duration_s
