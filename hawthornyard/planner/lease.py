"""Acquire, renew and give back the planner's lease.

The processes share no clock. Each judges the expiry of the lease by its own
monotonic clock: the holder counts the duration from before its write was sent,
all others from when they first saw the revision of the write, which is later.
So the holder stops before another process can take over.
"""

from collections.abc import Iterator

from ..core import Clock, Decision, Handlers, Message, RandomSource, StopRequested, Tick
from .messages import (
    PlanTableOutcomeUnknown,
    PlanTableRead,
    PlanTableRefused,
    PlanTableWritten,
    ReadPlanTable,
)
from .plan import Lease
from .state import PlannerState

# The following three are fractions of the duration of the lease.
# The holder renews the lease after this part of it.
RENEWAL_FRACTION = 1 / 3
# Others wait this much longer than the lease lasts, because clocks differ in rate.
CLOCK_MARGIN_FRACTION = 0.1
# The writes of processes that want the lease are spread over this time.
JITTER_FRACTION = 1 / 3
LONGEST_ORDER_S = 6.0
RETRY_DELAY_S = 1.0


class HoldLease:
    """A filter that acquires, renews and gives back the lease for this process.

    Every write is conditional on the revision that was read. Of several
    processes that find the lease expired only one succeeds, and a holder that
    was paused beyond its lease fails when it writes again. A write with an
    unknown outcome is resolved by reading the row and comparing the token.

    If a plan is in force, a new holder waits `longest_order_s` before its first
    plan, so that the orders of an earlier planner have ended by then.

    Args:
        state: State shared with the other planner filters.
        clock: Source of time.
        random_source: Source of the jitter that spreads the writes of processes.
        longest_order_s: Upper bound in seconds on an order of an earlier planner.
    """

    __slots__ = (
        "_acquire_at",
        "_clock",
        "_is_stopping",
        "_longest_order_s",
        "_random_source",
        "_retry_at",
        "_state",
        "_was_holder",
        "handlers",
    )

    def __init__(
        self,
        state: PlannerState,
        clock: Clock,
        random_source: RandomSource,
        *,
        longest_order_s: float = LONGEST_ORDER_S,
    ) -> None:
        self._state = state
        self._clock = clock
        self._random_source = random_source
        self._longest_order_s = longest_order_s
        self._acquire_at: float | None = None
        self._retry_at = clock.now()
        self._was_holder = False
        self._is_stopping = False
        self.handlers: Handlers = {
            PlanTableRead: self._on_plan_table_read,
            PlanTableWritten: self._on_plan_table_written,
            PlanTableRefused: self._on_plan_table_refused,
            PlanTableOutcomeUnknown: self._on_plan_table_outcome_unknown,
            Tick: self._on_tick,
            StopRequested: self._on_stop_requested,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._was_holder and not self._state.holds_lease:
            yield from self._lose_lease("the lease expired before its renewal")
        if self._is_write_due():
            yield self._state.prepare_write(None)
        yield msg

    def _is_write_due(self) -> bool:
        now = self._clock.now()
        if self._state.pending_write is not None or self._is_stopping:
            return False
        if now < self._retry_at:
            return False
        if self._state.holds_lease:
            remaining_s = self._state.lease_held_until - now
            return remaining_s <= self._state.duration_s * (1 - RENEWAL_FRACTION)
        return self._acquire_at is not None and now >= self._acquire_at

    def _on_plan_table_read(self, msg: PlanTableRead) -> Iterator[Message]:
        if msg.lease is None:
            self._schedule_first_acquisition()
        elif self._is_newer(msg.lease.revision):
            yield from self._adopt_lease(msg.lease)
        yield msg

    def _on_plan_table_written(self, msg: PlanTableWritten) -> Iterator[Message]:
        pending_write = self._state.pending_write
        if pending_write is not None and self._is_newer(msg.revision):
            written = pending_write.lease
            yield from self._adopt_lease(
                Lease(msg.revision, written.holder, written.token, written.duration_s)
            )
        yield msg
        self._state.pending_write = None

    def _is_newer(self, revision: int) -> bool:
        known = self._state.lease
        return known is None or revision > known.revision

    def _adopt_lease(self, lease: Lease) -> Iterator[Message]:
        sent_at = self._state.sent_at_by_token.get(lease.token)
        self._state.lease = lease
        self._state.lease_seen_at = self._clock.now()
        # Every other unresolved write was conditional on an older revision and fails.
        self._state.sent_at_by_token.clear()
        if lease.holder == self._state.holder and sent_at is not None:
            yield from self._take_lease(lease, sent_at)
            return
        if self._was_holder:
            yield from self._lose_lease(f"held by {lease.holder or 'nobody'}")
        self._schedule_acquisition()

    def _schedule_acquisition(self) -> None:
        lease = self._state.lease
        lapses_at = self._state.lease_seen_at
        if lease is not None and lease.holder:
            lapses_at += lease.duration_s * (1 + CLOCK_MARGIN_FRACTION)
        jitter_s = JITTER_FRACTION * self._state.duration_s
        self._acquire_at = lapses_at + jitter_s * self._random_source.random()

    def _schedule_first_acquisition(self) -> None:
        if self._acquire_at is None:
            self._schedule_acquisition()

    def _take_lease(self, lease: Lease, sent_at: float) -> Iterator[Message]:
        self._state.lease_held_until = sent_at + lease.duration_s
        if self._was_holder:
            return
        self._was_holder = True
        is_first_plan = self._state.plan is None
        wait_s = 0.0 if is_first_plan else self._longest_order_s
        self._state.earliest_plan_at = self._clock.now() + wait_s
        yield Decision(
            "lease_taken",
            reason="no other process holds the lease",
            holder=lease.holder,
            revision=lease.revision,
            first_plan_in_s=wait_s,
        )

    def _lose_lease(self, reason: str) -> Iterator[Message]:
        self._was_holder = False
        self._state.lease_held_until = float("-inf")
        self._schedule_acquisition()
        yield Decision("lease_lost", reason=reason, holder=self._state.holder)

    def _on_plan_table_refused(self, msg: PlanTableRefused) -> Iterator[Message]:
        self._state.sent_at_by_token.pop(msg.token, None)
        self._state.pending_write = None
        yield from self._read_table()

    def _on_plan_table_outcome_unknown(
        self, msg: PlanTableOutcomeUnknown
    ) -> Iterator[Message]:
        self._state.pending_write = None
        yield from self._read_table()

    def _read_table(self) -> Iterator[Message]:
        self._retry_at = self._clock.now() + RETRY_DELAY_S * (
            1 + self._random_source.random()
        )
        yield ReadPlanTable()

    def _on_stop_requested(self, msg: StopRequested) -> Iterator[Message]:
        self._is_stopping = True
        if self._state.holds_lease and self._state.pending_write is None:
            yield self._state.prepare_write(None, holder="")
        self._state.lease_held_until = float("-inf")
        self._was_holder = False
        yield msg
