"""Follow the operators' rollout orders and the state of each rollout."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import RolloutShare
from ...rollout import Phase, RolloutOrder, RolloutState, find_duration_fault
from ..messages import (
    EndpointRetired,
    RolloutOrderRead,
    RolloutRead,
    RolloutReadRequested,
    StoreRestored,
)
from ..peers import Peers
from ..rollout import Rollout
from ..rollouts import Rollouts
from .deployment import OPERATOR_FEED

# Time between reads of a state that is not known, or whose holder is not heard.
UNKNOWN_INTERVAL_S = 0.5
UNHEARD_INTERVAL_S = 1.0
# Time between reads while the holder tells its state by datagrams.
HEARD_INTERVAL_S = 3.0
# Time after a restore within which operators write lost orders again.
RESTORED_S = 10.0


class FollowRollouts:
    """Filter that learns orders and states; it writes nothing.

    Args:
        rollouts: Rollouts that operators ordered.
        peers: The other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_next_read_at",
        "_peers",
        "_restored_until",
        "_rollouts",
        "handlers",
    )

    def __init__(self, rollouts: Rollouts, peers: Peers, clock: Clock) -> None:
        self._rollouts = rollouts
        self._peers = peers
        self._clock = clock
        self._next_read_at: dict[str, float] = {}
        self._restored_until = float("-inf")
        self.handlers: Handlers = {
            RolloutOrderRead: self._on_order_read,
            RolloutRead: self._on_rollout_read,
            RolloutShare: self._on_rollout_share,
            StoreRestored: self._on_store_restored,
            Tick: self._on_tick,
        }

    def _on_order_read(self, msg: RolloutOrderRead) -> Iterator[Message]:
        order = msg.order
        if msg.detail:
            yield Decision("rollout_refused", reason=msg.detail, key=msg.key)
        elif order is None:
            yield Decision(
                "rollout_withdrawn",
                reason="a rollout that runs goes on to its verdict",
                key=msg.key,
            )
        elif self._rollouts.bounds is None:
            yield Decision(
                "rollout_refused",
                reason="rollouts are not in force: the settings have no expose_share",
                key=msg.key,
            )
        else:
            yield from self._follow(order)

    def _follow(self, order: RolloutOrder) -> Iterator[Message]:
        rollout = self._rollouts.get(order.service)
        if rollout is not None and self._is_same(rollout, order):
            return
        fault = find_duration_fault(order)
        if fault:
            self._rollouts.refuse(order)
            yield Decision(
                "rollout_refused", reason=fault, service=order.service, to=order.to
            )
            return
        if rollout is not None and not rollout.is_over:
            self._rollouts.refuse(order)
            yield Decision(
                "rollout_refused",
                reason=f"the rollout to {rollout.to!r} is not over",
                service=order.service,
                to=order.to,
            )
            return
        self._rollouts.begin(order, self._peers.n_gateways)
        self._next_read_at[order.service] = self._clock.now()
        yield Decision(
            "rollout_ordered",
            service=order.service,
            to=order.to,
            duration_s=order.duration_s,
        )

    def _is_same(self, rollout: Rollout, order: RolloutOrder) -> bool:
        known = rollout.order
        if order.revision == known.revision:
            return True
        if self._clock.now() < self._restored_until:
            # The copy may have an earlier order, or the operator writes a lost one
            # again; the state must not go back.
            return order.to == known.to or order.revision < known.revision
        return order.to == known.to and not rollout.is_over

    def _on_rollout_read(self, msg: RolloutRead) -> Iterator[Message]:
        rollout = self._rollouts.get(msg.service)
        state = msg.state
        if rollout is not None and state is not None:
            yield from self._learn_stored(rollout, state)
        yield msg

    def _learn_stored(self, rollout: Rollout, state: RolloutState) -> Iterator[Message]:
        if rollout.is_of(state):
            yield from self._learn(rollout, state)
            return
        order = rollout.order
        is_refused = state.refused_revision == order.revision
        if rollout.state is not None or (state.phase.is_final and not is_refused):
            if state.phase is Phase.ROLLED_BACK:
                self._rollouts.withhold(order.service, state.to)
            return
        # This gateway began in the middle of a rollout, with a later order.
        earlier = RolloutOrder(
            state.service, state.to, state.duration_s, state.order_revision
        )
        self._rollouts.replace(earlier, self._peers.n_gateways)
        self._rollouts.refuse(order)
        yield Decision(
            "rollout_refused",
            reason=f"it came before the rollout to {state.to!r} was over",
            service=order.service,
            to=order.to,
        )
        found = self._rollouts.get(order.service)
        if found is not None:
            yield from self._learn(found, state)

    def _on_rollout_share(self, msg: RolloutShare) -> Iterator[Message]:
        rollout = self._rollouts.get(msg.service)
        if rollout is None or not self._peers.is_known(msg.holder):
            return
        if (msg.to, msg.revision) != (rollout.to, rollout.order.revision):
            return
        if msg.phase not in {phase.value for phase in Phase} or msg.step < 0:
            return
        known = rollout.state
        if known is not None and msg.number < known.number:
            return
        state = RolloutState(
            msg.service,
            msg.to,
            msg.revision,
            rollout.order.duration_s,
            known.started_ms if known is not None else 0.0,
            number=msg.number,
            holder=msg.holder,
            phase=Phase(msg.phase),
            step=msg.step,
        )
        yield from self._learn(rollout, state)
        rollout.grant(self._clock.now())
        self._next_read_at[msg.service] = self._clock.now() + HEARD_INTERVAL_S

    def _learn(self, rollout: Rollout, state: RolloutState) -> Iterator[Message]:
        if not rollout.learn(state):
            return
        yield Decision(
            "rollout",
            reason=state.reason,
            service=state.service,
            to=state.to,
            phase=state.phase.value,
            step=state.step,
            number=state.number,
            holder=state.holder,
            share=round(rollout.share(self._clock.now()), 4),
            n_exposed=rollout.exposure.n_exposed,
        )

    def _on_store_restored(self, msg: StoreRestored) -> Iterator[Message]:
        if msg.feed == OPERATOR_FEED:
            self._restored_until = self._clock.now() + RESTORED_S
            for rollout in self._rollouts:
                self._next_read_at[rollout.order.service] = self._clock.now()
        yield msg

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for rollout in self._rollouts:
            service = rollout.order.service
            if rollout.phase is Phase.MOVE:
                for endpoint in self._rollouts.retire(service):
                    yield EndpointRetired(endpoint.name)
            if msg.now >= self._next_read_at.get(service, 0.0):
                self._next_read_at[service] = msg.now + self._interval_s(rollout)
                yield RolloutReadRequested(service)

    def _interval_s(self, rollout: Rollout) -> float:
        if rollout.is_over:
            return float("inf")
        is_unknown = rollout.state is None
        return UNKNOWN_INTERVAL_S if is_unknown else UNHEARD_INTERVAL_S
