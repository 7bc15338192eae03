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
    decode_lease,
    decode_plan,
    encode_lease,
    encode_plan,
)
from .repeat import repeat

PLAN_POLL_INTERVAL_S = 2.0


class PlanTable:
    """Source of the lease and the plan as they change, and sink for writes.

    Each poll is one scan, which returns only rows that changed since the last.

    Args:
        table: The platform's table service.
        inbox: Receives the rows and the outcomes of writes.
        clock: Clock that a write's `not_after` refers to.
        interval_s: Mean seconds between polls.
    """

    __slots__ = (
        "_clock",
        "_inbox",
        "_interval_s",
        "_lease",
        "_plan",
        "_seen_revision",
        "_table",
        "_write_queue",
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
        self._seen_revision = -1
        self._lease: Lease | None = None
        self._plan: Plan | None = None
        self._write_queue = LightQueue()
        self.consumers: Consumers = {
            ReadPlanTable: lambda _: eventlet.spawn_n(self.poll, True),
            WritePlanTable: self._write_queue.put,
        }

    def start(self) -> None:
        """Start the green threads that poll and write."""
        eventlet.spawn_n(self._run_poll)
        eventlet.spawn_n(self._run_writes)

    def poll(self, report_unchanged: bool = False) -> None:
        """Poll once; a failure is logged, and the next poll is the retry.

        Reports the rows after the first successful poll and when rows changed.

        Args:
            report_unchanged: Whether to report the rows even if they did not change.
        """
        try:
            page = self._table.scan(PLAN_PREFIX, after=max(0, self._seen_revision))
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("plan_poll_failed")
            return
        is_first = self._seen_revision < 0
        self._seen_revision = max(self._seen_revision, page.head)
        for row in page.rows:
            self._apply_row(row)
        if page.rows or is_first or report_unchanged:
            self._inbox.put(PlanTableRead(self._lease, self._plan))

    def write(self, msg: WritePlanTable) -> Message:
        """Write once and return the outcome.

        A write at or after its `not_after` is refused without being sent.
        """
        token = msg.lease.token
        conditions = [Condition(LEASE_KEY, msg.lease_revision)]
        puts = [Put(LEASE_KEY, encode_lease(msg.lease))]
        if msg.plan is not None:
            conditions.append(Condition(PLAN_KEY, msg.plan_revision))
            puts.append(Put(PLAN_KEY, encode_plan(msg.plan)))
        if self._clock.now() >= msg.not_after:
            return PlanTableRefused(token, "the lease expired before the write")
        try:
            return PlanTableWritten(token, self._table.transact(conditions, puts))
        except ConflictError as exc:
            return PlanTableRefused(token, exc.detail)
        except PlatformError as exc:
            logger.bind(detail=str(exc)).warning("plan_write_unknown")
            return PlanTableOutcomeUnknown(token)

    def _run_poll(self) -> None:
        repeat(self._poll_and_wait, "plan table reader")

    def _poll_and_wait(self) -> None:
        self.poll()
        eventlet.sleep(self._interval_s * (0.5 + random.random()))

    def _run_writes(self) -> None:
        repeat(self._write_next, "plan table writer")

    def _write_next(self) -> None:
        self._inbox.put(self.write(self._write_queue.get()))

    def _apply_row(self, row: Row) -> None:
        try:
            if row.key == LEASE_KEY and row.revision > _revision_of(self._lease):
                self._lease = decode_lease(row)
            elif row.key == PLAN_KEY and row.revision > _revision_of(self._plan):
                self._plan = decode_plan(row)
        except ValueError as exc:
            logger.bind(key=row.key, detail=str(exc)).error("plan_row_malformed")


def _revision_of(stored: Lease | Plan | None) -> int:
    return stored.revision if stored is not None else 0
