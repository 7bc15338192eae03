"""One sidecar's order filter and its endpoint, without sockets."""

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

from .planning import entry


class ForgetfulEngine(OrderModel):
    """An endpoint that accepts orders and does not follow them."""

    def state(self) -> EndpointState:
        return EndpointState(0, "", [], [], [])


ENDPOINT = "scribe-1"
GATEWAY = "gateway-1"
TICK_S = 0.1
MAX_DELIVERIES_PER_TICK = 8


class OrderWorld:
    """A sidecar beside an endpoint; checks the promises at every step.

    Attributes:
        engine: Model of the endpoint.
        waiting: Questions and orders that left the sidecar, not yet carried out.
        said: Reports to the gateway.
        log: Decisions.
        violations: Promises that were broken.
    """

    def __init__(self, engine: OrderModel) -> None:
        self.clock = ManualClock()
        self.engine = engine
        self.waiting: deque[Message] = deque()
        self.said: list[LoadedReport] = []
        self.log: list[Decision] = []
        self.violations: list[str] = []
        self.n_asked = 0
        self._newest = 0
        self._floor = 0
        self.start()

    @property
    def consumers(self) -> Consumers:
        return {
            QueryState: self.waiting.append,
            SendOrder: self._on_order,
            LoadedReport: self.said.append,
            Decision: self.log.append,
            Tick: lambda msg: None,
            PeerUp: lambda msg: None,
            PeerDown: lambda msg: None,
        }

    def start(self) -> None:
        """Start a new incarnation of the sidecar."""
        self.waiting.clear()
        self._floor = 0
        self._has_read = False
        self.pipeline = Pipeline([Reconcile(ENDPOINT, self.clock)], [self])
        self.pipeline.push(PeerUp(GATEWAY))

    def push_plan(self, number: int, model: str) -> None:
        """Let a gateway push the plan's entry."""
        self._newest = max(self._newest, number)
        self.pipeline.push(PlanPush(number, entry(model)))

    def tick(self, seconds: float = TICK_S) -> None:
        """Let time pass and the timer fire."""
        self.clock.advance(seconds)
        self.pipeline.push(Tick(self.clock.now()))

    def deliver(self, *, reaches: bool = True, answered: bool = True) -> None:
        """Carry out the oldest question or order.

        Args:
            reaches: Whether it reaches the endpoint.
            answered: Whether the answer comes back.
        """
        if not self.waiting:
            return
        msg = self.waiting.popleft()
        answer = self._answer(msg, reaches)
        if not (reaches and answered):
            answer = _no_answer(msg)
        self._note(answer)
        self.pipeline.push(answer)

    def settle(self, seconds: float = 10.0) -> None:
        """Run without faults until the endpoint should have reached the plan."""
        for _ in range(round(seconds / TICK_S)):
            self.tick()
            for _ in range(MAX_DELIVERIES_PER_TICK):
                self.deliver()
            self.engine.advance()

    def order_by_another(self, number: int, model: str) -> bool:
        """Give the endpoint an order past the sidecar."""
        return self.engine.apply_order(Order(number, entry(model)))

    def _on_order(self, msg: SendOrder) -> None:
        number = msg.order.fencing_number
        if not self._has_read:
            self.violations.append(f"ordered {number} before the state was read")
        if number < self._floor:
            self.violations.append(f"ordered with {number}, below {self._floor}")
        self._floor = max(self._floor, number)
        self.waiting.append(msg)

    def _answer(self, msg: Message, reaches: bool) -> Message:
        if isinstance(msg, SendOrder):
            accepted = self.engine.apply_order(msg.order) if reaches else None
            return OrderAnswered(msg.order, accepted)
        self.n_asked += 1
        return StateAnswered(self.engine.state())

    def _note(self, answer: Message) -> None:
        if isinstance(answer, StateAnswered) and answer.state is not None:
            self._has_read = True
            self._floor = max(self._floor, answer.state.fencing_number)


def _no_answer(msg: Message) -> Message:
    if isinstance(msg, SendOrder):
        return OrderAnswered(msg.order, None)
    return StateAnswered(None)
