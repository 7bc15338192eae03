"""Take, renew and lose the planner's lease.

The table has no clock that all processes share. A lease is therefore judged
by each process on its own monotonic clock: the holder counts its duration from
before the write was sent, everyone else from when its revision was first seen,
which is later. The holder stops first.
"""

from collections.abc import Iterator

from ..core import Clock, Decision, Handlers, Message, RandomSource, StopRequested, Tick
from .duty import Duty
from .messages import (
    AskPlanTable,
    PlanTableRefused,
    PlanTableSeen,
    PlanTableUnknown,
    PlanTableWritten,
)
from .plan import Lease

RENEWAL_SHARE = 1 / 3
CLOCK_MARGIN_SHARE = 0.1
CONTENTION_SHARE = 1 / 3
LONGEST_ORDER_S = 6.0
RETRY_S = 1.0


class HoldLease:
    """Keep the lease row up to date for this process.

    Every write is conditional on the revision that was read, so of several
    processes that find the lease lapsed one wins, and a holder that was paused
    past its lease fails when it wakes. A write with an unknown outcome is
    resolved by reading the row and comparing the token.

    Args:
        duty: State shared with the other planner filters.
        clock: Source of time.
        chance: Spreads the attempts of several processes.
        longest_order_s: Bound on an order that an earlier planner has caused.
    """

    __slots__ = (
        "_attempt_at",
        "_chance",
        "_clock",
        "_duty",
        "_is_stopping",
        "_longest_order_s",
        "_retry_at",
        "_was_held",
        "handlers",
    )

    def __init__(
        self,
        duty: Duty,
        clock: Clock,
        chance: RandomSource,
        *,
        longest_order_s: float = LONGEST_ORDER_S,
    ) -> None:
        self._duty = duty
        self._clock = clock
        self._chance = chance
        self._longest_order_s = longest_order_s
        self._attempt_at: float | None = None
        self._retry_at = clock.now()
        self._was_held = False
        self._is_stopping = False
        self.handlers: Handlers = {
            PlanTableSeen: self._on_seen,
            PlanTableWritten: self._on_written,
            PlanTableRefused: self._on_refused,
            PlanTableUnknown: self._on_unknown,
            Tick: self._on_tick,
            StopRequested: self._on_stop,
        }

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        if self._was_held and not self._duty.is_held:
            yield from self._lose("it lapsed before its renewal")
        if self._is_due():
            yield self._duty.write(None)
        yield msg

    def _is_due(self) -> bool:
        now = self._clock.now()
        if self._duty.pending is not None or self._is_stopping:
            return False
        if now < self._retry_at:
            return False
        if self._duty.is_held:
            left_s = self._duty.held_until - now
            return left_s <= self._duty.duration_s * (1 - RENEWAL_SHARE)
        return self._attempt_at is not None and now >= self._attempt_at

    def _on_seen(self, msg: PlanTableSeen) -> Iterator[Message]:
        if msg.lease is None:
            self._schedule_first()
        elif self._is_newer(msg.lease.revision):
            yield from self._adopt(msg.lease)
        yield msg

    def _on_written(self, msg: PlanTableWritten) -> Iterator[Message]:
        pending = self._duty.pending
        if pending is not None and self._is_newer(msg.revision):
            written = pending.lease
            yield from self._adopt(
                Lease(msg.revision, written.holder, written.token, written.duration_s)
            )
        yield msg
        self._duty.pending = None

    def _is_newer(self, revision: int) -> bool:
        held = self._duty.lease
        return held is None or revision > held.revision

    def _adopt(self, lease: Lease) -> Iterator[Message]:
        sent_at = self._duty.sent.get(lease.token)
        self._duty.lease = lease
        self._duty.lease_seen_at = self._clock.now()
        # Every other unresolved write was conditional on an older revision.
        self._duty.sent.clear()
        if lease.holder == self._duty.holder and sent_at is not None:
            yield from self._hold(lease, sent_at)
            return
        if self._was_held:
            yield from self._lose(f"held by {lease.holder or 'nobody'}")
        self._schedule()

    def _schedule(self) -> None:
        lease = self._duty.lease
        lapsed_at = self._duty.lease_seen_at
        if lease is not None and lease.holder:
            lapsed_at += lease.duration_s * (1 + CLOCK_MARGIN_SHARE)
        spread_s = CONTENTION_SHARE * self._duty.duration_s
        self._attempt_at = lapsed_at + spread_s * self._chance.random()

    def _schedule_first(self) -> None:
        if self._attempt_at is None:
            self._schedule()

    def _hold(self, lease: Lease, sent_at: float) -> Iterator[Message]:
        self._duty.held_until = sent_at + lease.duration_s
        if self._was_held:
            return
        self._was_held = True
        is_first = self._duty.plan is None
        wait_s = 0.0 if is_first else self._longest_order_s
        self._duty.first_plan_at = self._clock.now() + wait_s
        yield Decision(
            "lease_taken",
            reason="the old lease has lapsed",
            holder=lease.holder,
            revision=lease.revision,
            first_plan_in_s=wait_s,
        )

    def _lose(self, reason: str) -> Iterator[Message]:
        self._was_held = False
        self._duty.held_until = float("-inf")
        self._schedule()
        yield Decision("lease_lost", reason=reason, holder=self._duty.holder)

    def _on_refused(self, msg: PlanTableRefused) -> Iterator[Message]:
        self._duty.sent.pop(msg.token, None)
        self._duty.pending = None
        yield from self._read_back()

    def _on_unknown(self, msg: PlanTableUnknown) -> Iterator[Message]:
        self._duty.pending = None
        yield from self._read_back()

    def _read_back(self) -> Iterator[Message]:
        self._retry_at = self._clock.now() + RETRY_S * (1 + self._chance.random())
        yield AskPlanTable()

    def _on_stop(self, msg: StopRequested) -> Iterator[Message]:
        self._is_stopping = True
        if self._duty.is_held and self._duty.pending is None:
            yield self._duty.write(None, holder="")
        self._duty.held_until = float("-inf")
        self._was_held = False
        yield msg
