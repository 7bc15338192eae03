"""Read and write the plan and the planner's lease in the table service."""

import random

import eventlet
from eventlet.queue import LightQueue
from loguru import logger

from ..core import Clock, Consumers, Inbox, Message
from ..errors import ConflictError, PlatformError
from ..planner import (
    Lease,
    Plan,
    PlanTableOutcomeUnknown,
    PlanTableRead,
    PlanTableRefused,
    PlanTableWritten,
    ReadPlanTable,
    WritePlanTable,
)
from ..stores import Condition, Put, Row, TableStore
from .plan_rows import (
    LEASE_KEY,
    PLAN_KEY,
    PLAN_PREFIX,
    lease_of,
    lease_value,
    plan_of,
    plan_value,
)

PLAN_POLL_INTERVAL_S = 2.0


class PlanTable:
    """A source of the plan's rows as they change, and a sink for writes.

    One scan brings the lease and the plan, and only if they changed.

    Args:
        table: The platform's table service.
        inbox: Where the answers go.
        clock: The clock that a write's bound is checked against.
        interval_s: Mean seconds between polls.
    """

    __slots__ = (
        "_clock",
        "_head",
        "_inbox",
        "_interval_s",
        "_lease",
        "_plan",
        "_table",
        "_writes",
        "consumers",
    )

    def __init__(
        self,
        table: TableStore,
        inbox: Inbox,
        clock: Clock,
        *,
        interval_s: float = PLAN_POLL_INTERVAL_S,
    ) -> None:
        self._table = table
        self._inbox = inbox
        self._clock = clock
        self._interval_s = interval_s
        self._head = -1
        self._lease: Lease | None = None
        self._plan: Plan | None = None
        self._writes = LightQueue()
        self.consumers: Consumers = {
            ReadPlanTable: lambda _: eventlet.spawn_n(self.poll, True),
            WritePlanTable: self._writes.put,
        }

    def start(self) -> None:
        """Start the green threads that poll and write."""
        eventlet.spawn_n(self._run_poll)
        eventlet.spawn_n(self._run_writes)

    def poll(self, asked: bool = False) -> None:
        """Read once; an outage is left to the next poll.

        Args:
            asked: Whether to tell the rows even if they did not change.
        """
        try:
            page = self._table.scan(PLAN_PREFIX, after=max(0, self._head))
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("plan_poll_failed")
            return
        is_first = self._head < 0
        self._head = max(self._head, page.head)
        for row in page.rows:
            self._take(row)
        if page.rows or is_first or asked:
            self._inbox.put(PlanTableRead(self._lease, self._plan))

    def write(self, msg: WritePlanTable) -> Message:
        """Write once and return the outcome, unless its time has passed."""
        token = msg.lease.token
        conditions = [Condition(LEASE_KEY, msg.lease_revision)]
        puts = [Put(LEASE_KEY, lease_value(msg.lease))]
        if msg.plan is not None:
            conditions.append(Condition(PLAN_KEY, msg.plan_revision))
            puts.append(Put(PLAN_KEY, plan_value(msg.plan)))
        if self._clock.now() >= msg.not_after:
            return PlanTableRefused(token, "the lease lapsed before the write")
        try:
            return PlanTableWritten(token, self._table.transact(conditions, puts))
        except ConflictError as exc:
            return PlanTableRefused(token, exc.detail)
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("plan_write_unknown")
            return PlanTableOutcomeUnknown(token)

    def _run_poll(self) -> None:
        while True:
            self.poll()
            eventlet.sleep(self._interval_s * (0.5 + random.random()))

    def _run_writes(self) -> None:
        while True:
            self._inbox.put(self.write(self._writes.get()))

    def _take(self, row: Row) -> None:
        try:
            if row.key == LEASE_KEY and row.revision > _revision(self._lease):
                self._lease = lease_of(row)
            elif row.key == PLAN_KEY and row.revision > _revision(self._plan):
                self._plan = plan_of(row)
        except ValueError as exc:
            logger.bind(key=row.key, detail=str(exc)).error("plan_row_malformed")


def _revision(held: Lease | Plan | None) -> int:
    return held.revision if held is not None else 0
