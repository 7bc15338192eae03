"""Simulate a sidecar's order filter and its endpoint, without sockets."""

from collections import deque

from hawthornyard.core import (
    Consumers,
    Decision,
    ManualClock,
    Message,
    PeerDown,
    PeerUp,
    Pipeline,
    Tick,
)
from hawthornyard.frames import LoadedReport, PlanPush
from hawthornyard.sidecar.orders import (
    EndpointState,
    Order,
    OrderAnswered,
    QueryState,
    Reconcile,
    SendOrder,
    StateAnswered,
)
from hawthornyard.standins import OrderModel

from .planning import plan_entry


class ForgetfulEngine(OrderModel):
    """An endpoint that accepts orders and forgets them."""

    def state(self) -> EndpointState:
        return EndpointState(0, "", [], [], [])


ENDPOINT = "scribe-1"
GATEWAY = "gateway-1"
TICK_S = 0.1
MAX_DELIVERIES_PER_TICK = 8


class OrderWorld:
    """A sidecar and its endpoint whose invariants are checked at every step.

    Attributes:
        engine: Model of the endpoint.
        pending: State queries and orders sent and not yet delivered.
        said: Reports of loaded models to the gateway.
        decisions: Decisions of the sidecar.
        violations: Broken invariants.
        n_state_queries: Number of state queries delivered.
    """

    def __init__(self, engine: OrderModel) -> None:
        self.clock = ManualClock()
        self.engine = engine
        self.pending: deque[Message] = deque()
        self.said: list[LoadedReport] = []
        self.decisions: list[Decision] = []
        self.violations: list[str] = []
        self.n_state_queries = 0
        self._newest_plan = 0
        self._min_fencing_number = 0
        self.start()

    @property
    def consumers(self) -> Consumers:
        return {
            QueryState: self.pending.append,
            SendOrder: self._on_send_order,
            LoadedReport: self.said.append,
            Decision: self.decisions.append,
            Tick: lambda msg: None,
            PeerUp: lambda msg: None,
            PeerDown: lambda msg: None,
        }

    def start(self) -> None:
        """Start a new incarnation of the sidecar."""
        self.pending.clear()
        self._min_fencing_number = 0
        self._has_read = False
        self.pipeline = Pipeline([Reconcile(ENDPOINT, self.clock)], [self])
        self.pipeline.push(PeerUp(GATEWAY))

    def push_plan(self, number: int, model: str) -> None:
        """Push a plan entry from the gateway.

        Args:
            number: Revision of the plan, which is the order's fencing number.
            model: Model to be served.
        """
        self._newest_plan = max(self._newest_plan, number)
        self.pipeline.push(PlanPush(number, plan_entry(model)))

    def tick(self, seconds: float = TICK_S) -> None:
        """Advance the clock and push a tick."""
        self.clock.advance(seconds)
        self.pipeline.push(Tick(self.clock.now()))

    def deliver(
        self, *, reaches_endpoint: bool = True, is_answered: bool = True
    ) -> None:
        """Deliver the oldest pending state query or order.

        Args:
            reaches_endpoint: Whether it reaches the endpoint.
            is_answered: Whether the answer reaches the sidecar.
        """
        if not self.pending:
            return
        msg = self.pending.popleft()
        answer = self._answer(msg, reaches_endpoint)
        if not (reaches_endpoint and is_answered):
            answer = _no_answer(msg)
        self._track_state(answer)
        self.pipeline.push(answer)

    def settle(self, seconds: float = 10.0) -> None:
        """Run without faults for a time in which the endpoint should reach the plan."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
            for _ in range(MAX_DELIVERIES_PER_TICK):
                self.deliver()
            self.engine.advance()

    def order_directly(self, number: int, model: str) -> bool:
        """Send the endpoint an order that bypasses the sidecar."""
        return self.engine.apply_order(Order(number, plan_entry(model)))

    def _on_send_order(self, msg: SendOrder) -> None:
        number = msg.order.fencing_number
        if not self._has_read:
            self.violations.append(f"order {number} was sent before the state was read")
        if number < self._min_fencing_number:
            self.violations.append(
                f"order {number} is below {self._min_fencing_number}"
            )
        self._min_fencing_number = max(self._min_fencing_number, number)
        self.pending.append(msg)

    def _answer(self, msg: Message, reaches_endpoint: bool) -> Message:
        if isinstance(msg, SendOrder):
            accepted = self.engine.apply_order(msg.order) if reaches_endpoint else None
            return OrderAnswered(msg.order, accepted)
        self.n_state_queries += 1
        return StateAnswered(self.engine.state())

    def _track_state(self, answer: Message) -> None:
        if isinstance(answer, StateAnswered) and answer.state is not None:
            self._has_read = True
            self._min_fencing_number = max(
                self._min_fencing_number, answer.state.fencing_number
            )


def _no_answer(msg: Message) -> Message:
    if isinstance(msg, SendOrder):
        return OrderAnswered(msg.order, None)
    return StateAnswered(None)
