"""Reconciliation of the endpoint's state with its plan entry."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, PeerDown, PeerUp, Tick
from ...frames import LoadedReport, PlanEntry, PlanPush
from .messages import (
    EndpointState,
    Order,
    OrderAnswered,
    QueryState,
    SendOrder,
    StateAnswered,
)

SETTLED_POLL_INTERVAL_S = 2.0
UNSETTLED_POLL_INTERVAL_S = 0.25
UNSUPPORTED_POLL_INTERVAL_S = 60.0
REPEAT_INTERVAL_S = 2.0


class Reconcile:
    """Filter that compares the endpoint's state with the plan and sends orders.

    An order contains the whole desired state, so it may be repeated. It is sent
    only after the endpoint's state was read, and never with a fencing number lower
    than the highest that this process or the endpoint has acted on. After each
    order, whatever its result, the state is read back: if an endpoint ignores
    fencing numbers and was changed by another process, the state differs again and
    the order is repeated. At most one query or order is in flight.

    Args:
        endpoint: Name of the endpoint record.
        clock: Monotonic clock.
    """

    __slots__ = (
        "_clock",
        "_endpoint",
        "_is_awaiting_answer",
        "_last_report",
        "_latest_order",
        "_min_fencing_number",
        "_peers",
        "_poll_at",
        "_repeat_at",
        "handlers",
    )

    def __init__(self, endpoint: str, clock: Clock) -> None:
        self._endpoint = endpoint
        self._clock = clock
        self._latest_order: Order | None = None
        self._min_fencing_number = 0
        self._is_awaiting_answer = False
        self._poll_at = 0.0
        self._repeat_at = 0.0
        self._last_report: LoadedReport | None = None
        self._peers: set[str] = set()
        self.handlers: Handlers = {
            PlanPush: self._on_plan_push,
            StateAnswered: self._on_state_answered,
            OrderAnswered: self._on_order_answered,
            Tick: self._on_tick,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_plan_push(self, msg: PlanPush) -> Iterator[Message]:
        latest_number = self._latest_order.fencing_number if self._latest_order else 0
        # A number equal to the minimum is valid: after a restart of the sidecar, the
        # endpoint reports the number of the plan that is still in force.
        if msg.fencing_number <= max(latest_number, self._min_fencing_number - 1):
            return
        self._latest_order = Order(msg.fencing_number, msg.entry)
        self._repeat_at = 0.0
        yield from self._query_state()

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now >= self._poll_at:
            yield from self._query_state()

    def _query_state(self) -> Iterator[Message]:
        if self._is_awaiting_answer:
            return
        self._is_awaiting_answer = True
        yield QueryState()

    def _on_state_answered(self, msg: StateAnswered) -> Iterator[Message]:
        self._is_awaiting_answer = False
        if not msg.supports_orders:
            self._schedule_poll(UNSUPPORTED_POLL_INTERVAL_S)
            return
        if msg.state is None:
            self._schedule_poll(SETTLED_POLL_INTERVAL_S)
            return
        self._min_fencing_number = max(
            self._min_fencing_number, msg.state.fencing_number
        )
        yield from self._send_report(msg.state)
        yield from self._send_order(msg.state)

    def _send_order(self, state: EndpointState) -> Iterator[Message]:
        order = self._latest_order
        if order is None or order.fencing_number < self._min_fencing_number:
            self._schedule_poll(SETTLED_POLL_INTERVAL_S)
            return
        if _matches(state, order.entry):
            self._schedule_poll(SETTLED_POLL_INTERVAL_S)
            return
        now = self._clock.now()
        if state.target == order.entry or now < self._repeat_at:
            self._schedule_poll(UNSETTLED_POLL_INTERVAL_S)
            return
        self._repeat_at = now + REPEAT_INTERVAL_S
        self._min_fencing_number = order.fencing_number
        self._is_awaiting_answer = True
        yield Decision(
            "order",
            reason="the endpoint differs from the plan",
            endpoint=self._endpoint,
            fencing_number=order.fencing_number,
            role=order.entry.role,
            models=order.entry.models,
        )
        yield SendOrder(order)

    def _on_order_answered(self, msg: OrderAnswered) -> Iterator[Message]:
        self._is_awaiting_answer = False
        if msg.accepted is not True:
            yield Decision(
                "order_not_confirmed",
                reason="refused" if msg.accepted is False else "the reply was lost",
                endpoint=self._endpoint,
                fencing_number=msg.order.fencing_number,
            )
            self._schedule_poll(UNSETTLED_POLL_INTERVAL_S)
            return
        yield from self._query_state()

    def _send_report(self, state: EndpointState) -> Iterator[Message]:
        planned = self._latest_order.fencing_number if self._latest_order else 0
        report = LoadedReport(
            self._endpoint,
            max(planned, self._min_fencing_number),
            state.role,
            state.models,
        )
        if report == self._last_report:
            return
        self._last_report = report
        for peer in sorted(self._peers):
            yield _copy_report(report).with_peer(peer)

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._peers.add(msg.peer)
        if self._last_report is not None:
            yield _copy_report(self._last_report).with_peer(msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg

    def _schedule_poll(self, seconds: float) -> None:
        self._poll_at = self._clock.now() + seconds


def _matches(state: EndpointState, entry: PlanEntry) -> bool:
    return (
        state.target in (None, entry)
        and state.role == entry.role
        and sorted(state.models) == sorted(entry.models)
        and sorted(state.versions) == sorted(entry.versions)
        and sorted(state.adapters) == sorted(entry.adapters)
    )


def _copy_report(report: LoadedReport) -> LoadedReport:
    return LoadedReport(
        report.endpoint, report.fencing_number, report.role, report.models
    )
