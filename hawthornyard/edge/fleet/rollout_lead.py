"""Hold the lease of rollouts, decide on their steps and write them to the store."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import RolloutCounts, RolloutShare
from ...rollout import Phase, RolloutState, Step, find_fault
from ..directory import Directory
from ..messages import (
    RolloutCallFailed,
    RolloutRead,
    RolloutReadRequested,
    RolloutWriteRequested,
    RolloutWritten,
    StoreRestored,
)
from ..peers import Peers
from ..rollout import Rollout
from ..rollouts import Rollouts
from .rollout_tenure import LEASE_S, StoreTime, Tenure

# Time between two decisions; a verdict on long evidence takes some milliseconds.
DECIDE_INTERVAL_S = 0.25
# Time between the reads of a gateway that may take the lease.
CANDIDATE_INTERVAL_S = 0.5
RENEW_S = LEASE_S / 2
# A write without a response within this time is looked up; calls take up to 1.25 s.
WRITE_TIMEOUT_S = 2.0


class _Write:
    """A write that is under way."""

    __slots__ = ("sent_at", "store_time")

    def __init__(self, sent_at: float, store_time: StoreTime) -> None:
        self.sent_at = sent_at
        self.store_time = store_time


class LeadRollouts:
    """Filter that leads the rollouts whose lease this gateway holds.

    One gateway, chosen by rendezvous hashing among those that are heard, takes the
    lease when nobody has it. Each write is conditional on the row as it was read, so
    that two holders, or one that was frozen, do no harm.

    Args:
        name: Name of the gateway.
        rollouts: Rollouts that operators ordered.
        directory: Deployment in force.
        peers: The other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_faults",
        "_name",
        "_next_decision_at",
        "_next_read_at",
        "_peers",
        "_rollouts",
        "_settled",
        "_tenures",
        "_writes",
        "handlers",
    )

    def __init__(
        self,
        name: str,
        rollouts: Rollouts,
        directory: Directory,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._name = name
        self._rollouts = rollouts
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._tenures: dict[str, Tenure] = {}
        self._writes: dict[str, _Write] = {}
        # Orders whose end the store knows, by service.
        self._settled: dict[str, int] = {}
        self._faults: dict[str, str] = {}
        self._next_read_at: dict[str, float] = {}
        self._next_decision_at = 0.0
        self.handlers: Handlers = {
            RolloutRead: self._on_rollout_read,
            RolloutWritten: self._on_rollout_written,
            RolloutCallFailed: self._on_call_failed,
            RolloutCounts: self._on_rollout_counts,
            StoreRestored: self._on_store_restored,
            Tick: self._on_tick,
        }

    def _on_rollout_read(self, msg: RolloutRead) -> Iterator[Message]:
        rollout = self._rollouts.get(msg.service)
        if rollout is None or msg.service in self._writes:
            return
        time = StoreTime(msg.asked_at, msg.now_ms)
        tenure = self._tenures.get(msg.service)
        if tenure is not None:
            yield from self._confirm(tenure, msg, time)
        elif self._is_candidate(msg.service):
            yield from self._take_if_free(rollout, msg, time)

    def _confirm(
        self, tenure: Tenure, msg: RolloutRead, time: StoreTime
    ) -> Iterator[Message]:
        state = msg.state
        service = msg.service
        if state is None or (state.holder, state.number) != (
            self._name,
            tenure.state.number,
        ):
            del self._tenures[service]
            yield Decision(
                "rollout_lease_lost",
                service=service,
                holder=state.holder if state is not None else "",
                number=state.number if state is not None else 0,
            )
            return
        is_news = _step_of(state) != _step_of(tenure.state)
        tenure.state, tenure.version, tenure.store_time = state, msg.version, time
        tenure.leased_until = msg.asked_at + (state.until_ms - msg.now_ms) / 1000.0
        tenure.is_uncertain = False
        if is_news:
            yield from self._tell(state)
        if state.phase.is_final:
            self._settle(service)

    def _settle(self, service: str) -> None:
        self._tenures.pop(service, None)
        rollout = self._rollouts.get(service)
        if rollout is not None:
            self._settled[service] = rollout.order.revision

    def _take_if_free(
        self, rollout: Rollout, msg: RolloutRead, time: StoreTime
    ) -> Iterator[Message]:
        stored = msg.state
        known = rollout.state
        is_stored = stored is not None and rollout.is_of(stored)
        if stored is not None and is_stored and stored.phase.is_final:
            self._settle(msg.service)
        elif known is not None and known.phase.is_final:
            # The store was restored from an older copy, or its writer has died.
            yield from self._take(known, msg, time)
        elif stored is not None and is_stored:
            left_ms = stored.until_ms - msg.now_ms
            is_leased = 0.0 < left_ms <= 2 * LEASE_S * 1000.0
            if not is_leased or stored.holder == self._name:
                yield from self._take(stored, msg, time)
        elif stored is None or stored.phase.is_final:
            yield from self._begin(rollout, msg, time)

    def _begin(
        self, rollout: Rollout, msg: RolloutRead, time: StoreTime
    ) -> Iterator[Message]:
        order = rollout.order
        now = self._clock.now()
        fault = find_fault(
            order,
            is_service_known=self._directory.service(order.service) is not None,
            versions=self._rollouts.versions(order.service),
        )
        waited_s = now - rollout.first_seen_at
        if rollout.state is None and (fault or waited_s >= order.duration_s):
            yield from self._note_fault(rollout, fault or "the duration has passed")
            return
        started_ms = time.at(now) - 1000.0 * waited_s
        state = rollout.state or RolloutState(
            order.service,
            order.to,
            order.revision,
            order.duration_s,
            started_ms,
            reason="ordered",
        )
        if not state.started_ms:
            state = state.replaced(started_ms=started_ms)
        yield from self._take(state, msg, time)

    def _note_fault(self, rollout: Rollout, fault: str) -> Iterator[Message]:
        service = rollout.order.service
        if self._faults.get(service) == fault:
            return
        self._faults[service] = fault
        yield Decision(
            "rollout_waits", reason=fault, service=service, to=rollout.order.to
        )

    def _take(
        self, state: RolloutState, msg: RolloutRead, time: StoreTime
    ) -> Iterator[Message]:
        number = max(state.number, msg.state.number if msg.state is not None else 0)
        taken = state.replaced(number=number + 1, holder=self._name)
        yield from self._write(taken, msg.version, time, is_published=True)

    def _write(
        self,
        state: RolloutState,
        version: int,
        time: StoreTime,
        *,
        is_published: bool,
    ) -> Iterator[Message]:
        now = self._clock.now()
        self._writes[state.service] = _Write(now, time)
        until_ms = time.at(now) + LEASE_S * 1000.0
        yield RolloutWriteRequested(
            state.replaced(until_ms=until_ms), version, is_published=is_published
        )

    def _on_rollout_written(self, msg: RolloutWritten) -> Iterator[Message]:
        state = msg.state
        service = state.service
        write = self._writes.pop(service, None)
        rollout = self._rollouts.get(service)
        if write is None or rollout is None:
            return
        if not msg.version:
            self._look_up_later(service)
            yield from self._read_now(service)
            return
        leased_until = write.sent_at + LEASE_S
        tenure = self._tenures.get(service)
        if tenure is None or tenure.state.number != state.number:
            tenure = Tenure(rollout, state, msg.version, write.store_time, leased_until)
            self._tenures[service] = tenure
            rollout.counts.send_all_again()
        is_news = _step_of(tenure.state) != _step_of(state)
        tenure.state = state
        tenure.version = msg.version
        tenure.leased_until = leased_until
        if is_news or rollout.state is None or rollout.state.number != state.number:
            yield from self._tell(state)
        if state.phase.is_final:
            self._settle(service)

    def _on_call_failed(self, msg: RolloutCallFailed) -> Iterator[Message]:
        if msg.is_write and self._writes.pop(msg.service, None) is not None:
            yield Decision(
                "rollout_write_failed", reason=msg.detail, service=msg.service
            )
            self._look_up_later(msg.service)

    def _look_up_later(self, service: str) -> None:
        tenure = self._tenures.get(service)
        if tenure is not None:
            tenure.is_uncertain = True
        self._next_read_at[service] = self._clock.now() + CANDIDATE_INTERVAL_S

    def _on_store_restored(self, msg: StoreRestored) -> Iterator[Message]:
        self._settled.clear()
        yield msg

    def _on_rollout_counts(self, msg: RolloutCounts) -> Iterator[Message]:
        tenure = self._tenures.get(msg.service)
        if tenure is None or msg.revision != tenure.rollout.order.revision:
            return
        now = self._clock.now()
        address = self._peers.address(msg.gateway)
        if address is None or now >= tenure.leased_until:
            return
        tenure.add(msg, now)
        state = tenure.rollout.state or tenure.state
        yield self._share(state).with_peer(address)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now < self._next_decision_at:
            return
        self._next_decision_at = msg.now + DECIDE_INTERVAL_S
        for rollout in self._rollouts:
            service = rollout.order.service
            write = self._writes.get(service)
            if write is not None and msg.now - write.sent_at > WRITE_TIMEOUT_S:
                del self._writes[service]
                self._look_up_later(service)
            tenure = self._tenures.get(service)
            if tenure is not None:
                yield from self._lead(tenure, msg.now)
            elif not self._is_settled(rollout) and self._is_candidate(service):
                yield from self._read_if_due(service, msg.now)

    def _is_settled(self, rollout: Rollout) -> bool:
        order = rollout.order
        return self._settled.get(order.service) == order.revision

    def _is_candidate(self, service: str) -> bool:
        return self._peers.is_owner(f"rollout/{service}")

    def _read_if_due(self, service: str, now: float) -> Iterator[Message]:
        if service not in self._writes and now >= self._next_read_at.get(service, 0.0):
            yield from self._read_now(service)

    def _read_now(self, service: str) -> Iterator[Message]:
        self._next_read_at[service] = self._clock.now() + CANDIDATE_INTERVAL_S
        yield RolloutReadRequested(service)

    def _lead(self, tenure: Tenure, now: float) -> Iterator[Message]:
        rollout = tenure.rollout
        tenure.counts.add(
            self._name,
            rollout.counts.period(now),
            rollout.counts.take_changed(now),
            now,
        )
        if now < tenure.leased_until:
            rollout.grant(now)
        step = tenure.next_step(
            now, self._peers.names(), self._rollouts.n_old_running(rollout)
        )
        state = rollout.state
        if state is not None and state.phase is Phase.ROLLED_BACK:
            step = Step(state.phase, step.step, state.reason, step.verdict)
        elif step.phase is Phase.ROLLED_BACK:
            # The store may be away: the others stop before it knows.
            yield self._step_decision(tenure, step)
            found = tenure.state.replaced(phase=step.phase, reason=step.reason)
            yield from self._tell(found)
        yield from self._write_if_due(tenure, step, now)

    def _write_if_due(
        self, tenure: Tenure, step: Step, now: float
    ) -> Iterator[Message]:
        service = tenure.state.service
        if service in self._writes:
            return
        if tenure.is_uncertain:
            yield from self._read_if_due(service, now)
            return
        is_news = _step_of(step) != _step_of(tenure.state)
        if not is_news and now < tenure.leased_until - RENEW_S:
            return
        if is_news and step.phase is not Phase.ROLLED_BACK:
            yield self._step_decision(tenure, step)
        reason = step.reason if is_news else tenure.state.reason
        yield from self._write(
            tenure.state.replaced(
                phase=step.phase,
                step=step.step,
                reason=reason,
                refused_revision=max(
                    tenure.state.refused_revision, tenure.rollout.refused_revision
                ),
            ),
            tenure.version,
            tenure.store_time,
            is_published=step.phase is not tenure.state.phase,
        )

    def _tell(self, state: RolloutState) -> Iterator[Message]:
        rollout = self._rollouts.get(state.service)
        if rollout is not None:
            rollout.learn(state)
        for address in self._peers.addresses():
            yield self._share(state).with_peer(address)

    def _share(self, state: RolloutState) -> RolloutShare:
        return RolloutShare(
            self._name,
            state.service,
            state.to,
            state.order_revision,
            state.number,
            state.phase.value,
            state.step,
        )

    def _step_decision(self, tenure: Tenure, step: Step) -> Decision:
        evidence = tenure.counts.evidence
        return Decision(
            "rollout_step",
            reason=step.reason,
            service=tenure.state.service,
            to=tenure.state.to,
            phase=step.phase.value,
            step=step.step,
            number=tenure.state.number,
            n_new=evidence.n_new,
            n_bad_new=evidence.n_bad_new,
            p=step.verdict.p,
            ratio=round(step.verdict.ratio, 3),
        )


def _step_of(item: RolloutState | Step) -> tuple[Phase, int]:
    return item.phase, item.step
