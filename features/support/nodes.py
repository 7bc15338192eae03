"""Drive gateways, sidecars and endpoints without sockets and timers."""

import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from features.support.history import Caller, History, Run, Token
from hawthornyard.core import (
    Consumers,
    Decision,
    Drain,
    Fault,
    Feedback,
    ManualClock,
    Message,
    PeerDown,
    PeerUp,
    Pipeline,
    StopListening,
    StopRequested,
    Tick,
)
from hawthornyard.errors import ConflictError, PlatformError
from hawthornyard.frames import (
    SENT_BY_GATEWAY,
    SENT_BY_SIDECAR,
    Frame,
    Heartbeat,
    ServiceCall,
)
from hawthornyard.gateway.chain import gateway_chain
from hawthornyard.gateway.fleet import Fleet, PeerGateways
from hawthornyard.gateway.inflight import InFlight
from hawthornyard.gateway.messages import (
    AttemptFailed,
    CallerGone,
    ClaimRequested,
    ClaimSettled,
    Closed,
    ConfigChanged,
    ConnectionSuspected,
    HeartbeatIntervalChanged,
    LinkRequested,
    ReplyEnded,
    ReplyFailed,
    ReplyResponse,
    ReplyStarted,
    ReplyTokens,
)
from hawthornyard.records import Catalog
from hawthornyard.rim import DiscardSink, FrameSink, StopSink
from hawthornyard.rim.claims import ClaimTable
from hawthornyard.sidecar import messages as sidecar_messages
from hawthornyard.sidecar.attempts import Attempts
from hawthornyard.sidecar.chain import sidecar_chain
from hawthornyard.sidecar.messages import (
    Attempt,
    CallEndpoint,
    CancelCall,
    EndpointEnded,
    EndpointFailed,
    EndpointReplied,
    EndpointTokens,
    Finished,
)
from hawthornyard.sidecar.orders.messages import QueryState, SendOrder
from hawthornyard.sidecar.state import SidecarState
from hawthornyard.standins import MemoryTable
from hawthornyard.stores import Condition, Page, Put, Row

N_TOKENS = 8
"""Tokens of each generation."""


class Node:
    """One process whose loop the test turns.

    Attributes:
        name: Name of the process.
        is_frozen: Whether it is stopped by SIGSTOP.
        is_alive: Whether its process exists.
        inbox: Messages that its loop has not taken yet.
        outbox: Frames that it sent.
    """

    __slots__ = ("inbox", "is_alive", "is_frozen", "name", "outbox", "pipeline", "stop")

    pipeline: Pipeline

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.is_alive = True
        self.inbox: deque[Message] = deque()
        self.outbox: deque[Frame] = deque()
        self.stop = StopSink()

    def put(self, msg: Message) -> None:
        """Append a message to the inbox."""
        self.inbox.append(msg)

    def turn(self) -> bool:
        """Run the loop until its inbox is empty; return whether it did anything."""
        is_busy = False
        while self.inbox and self.is_alive and not self.is_frozen:
            self.pipeline.push(self.inbox.popleft())
            is_busy = True
            if self.stop.is_stopped:
                self.is_alive = False
        return is_busy

    def _send(self, frame: Frame) -> None:
        self.outbox.append(frame)


class Quiet:
    """Drop decisions and faults."""

    __slots__ = ("consumers",)

    def __init__(self) -> None:
        self.consumers: Consumers = {Decision: self._drop, Fault: self._drop}

    def _drop(self, msg: Message) -> None:
        return


class Sender:
    """Stand for the open connections of a node."""

    __slots__ = ("send",)

    def __init__(self, send: Callable[[Frame], None]) -> None:
        self.send = send


class FaultyTable:
    """A table service in memory whose calls fail as told.

    Attributes:
        is_down: Whether every call fails.
        n_lost: Writes to come that take effect and lose their reply.
    """

    __slots__ = ("is_down", "n_lost", "rows")

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.is_down = False
        self.n_lost = 0

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows or none; see `TableStore.transact`."""
        self._check()
        revision = self.rows.transact(conditions, puts)
        if self.n_lost:
            self.n_lost -= 1
            raise PlatformError("the reply was lost")
        return revision

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return rows below `prefix`; see `TableStore.scan`."""
        self._check()
        return self.rows.scan(prefix, after=after)

    def read(self, key: str) -> Row | None:
        """Return one row; see `TableStore.read`."""
        self._check()
        return self.rows.read(key)

    def _check(self) -> None:
        if self.is_down:
            raise PlatformError("the table service is down")


class Claims:
    """Carry out claims when told, in place of the green threads.

    Attributes:
        is_slow: Whether questions wait.
        is_held: Whether answers wait after the write.
        asked: Questions that wait.
        answered: Answers that wait.
        settled: Orders that wait.
    """

    __slots__ = (
        "_node",
        "_table",
        "answered",
        "asked",
        "consumers",
        "is_held",
        "is_slow",
        "settled",
    )

    def __init__(self, node: Node, table: FaultyTable) -> None:
        self._node = node
        self._table = ClaimTable(table, lambda: 0.0)
        self.is_slow = False
        self.is_held = False
        self.answered: deque[Message] = deque()
        self.asked: deque[ClaimRequested] = deque()
        self.settled: deque[ClaimSettled] = deque()
        self.consumers: Consumers = {
            ClaimRequested: self.asked.append,
            ClaimSettled: self.settled.append,
        }

    def write(self) -> bool:
        """Carry out one order or one batch; return whether there was any."""
        if self.is_slow or not self._node.is_alive or self._node.is_frozen:
            return False
        if self.asked:
            batch = list(self.asked)
            self.asked.clear()
            self.answered.extend(self._table.claim(batch))
        if self.answered and not self.is_held:
            self._node.put(self.answered.popleft())
            return True
        return self._settle()

    def _settle(self) -> bool:
        for _ in range(len(self.settled)):
            item = self.settled.popleft()
            try:
                self._table.settle(item)
                return True
            except (ConflictError, PlatformError):
                self.settled.append(item)
        return False


class GatewayNode(Node):
    """One gateway with the callers that are connected to it."""

    __slots__ = ("calls", "catalog", "claims", "fleet", "inflight", "suspected")

    def __init__(
        self, name: str, clock: ManualClock, seed: int, identifiers: Any, table: Any
    ) -> None:
        super().__init__(name)
        self.catalog = Catalog()
        self.inflight = InFlight()
        self.fleet = Fleet(self.catalog, clock)
        self.calls: dict[str, Caller] = {}
        self.suspected: set[str] = set()
        self.claims = Claims(self, table)
        chain = gateway_chain(
            self.catalog,
            self.inflight,
            self.fleet,
            PeerGateways(name, (), clock),
            Drain(self.inflight, clock),
            clock,
            random.Random(seed),
            identifiers,
        )
        sender: Any = Sender(self._send)
        self.pipeline = Pipeline(
            chain,
            [
                Feedback(self, AttemptFailed, Closed),
                FrameSink(sender, *SENT_BY_GATEWAY),
                Quiet(),
                DiscardSink(
                    Tick,
                    PeerUp,
                    PeerDown,
                    Heartbeat,
                    CallerGone,
                    StopRequested,
                    StopListening,
                    ConfigChanged,
                    HeartbeatIntervalChanged,
                    LinkRequested,
                ),
                self.claims,
                self,
                self.stop,
            ],
        )

    @property
    def consumers(self) -> Consumers:
        """Return what gives replies to callers."""
        return {
            ReplyStarted: self._on_started,
            ReplyTokens: self._on_tokens,
            ReplyEnded: self._on_ended,
            ReplyResponse: self._on_whole,
            ReplyFailed: self._on_failed,
            ConnectionSuspected: self._on_suspected,
        }

    def _on_suspected(self, msg: ConnectionSuspected) -> None:
        self.suspected.add(msg.peer)

    def _on_started(self, msg: ReplyStarted) -> None:
        if msg.call_id in self.calls:
            self.calls[msg.call_id].endpoint = msg.endpoint

    def _on_tokens(self, msg: ReplyTokens) -> None:
        caller = self.calls.get(msg.call_id)
        if caller is None:
            return
        for index, text in enumerate(msg.texts, start=1):
            caller.tokens.append(Token(msg.attempt_id, msg.offset + index, text))

    def _on_ended(self, msg: ReplyEnded) -> None:
        caller = self.calls.pop(msg.call_id, None)
        if caller is not None:
            caller.n_end = msg.n_tokens

    def _on_whole(self, msg: ReplyResponse) -> None:
        caller = self.calls.pop(msg.call_id, None)
        if caller is not None:
            caller.body = msg.body

    def _on_failed(self, msg: ReplyFailed) -> None:
        caller = self.calls.pop(msg.call_id, None)
        if caller is not None:
            caller.failure = msg.kind


class FakeEndpoint:
    """An endpoint that does what the test says.

    Attributes:
        is_up: Whether it accepts connections.
        is_held: Whether calls wait on their way to it.
        is_stalled: Whether it produces nothing.
        waiting: Calls on their way.
        running: Runs by attempt.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_sidecar",
        "is_held",
        "is_stalled",
        "is_up",
        "name",
        "running",
        "waiting",
    )

    def __init__(self, name: str, clock: ManualClock, history: History) -> None:
        self.name = name
        self._clock = clock
        self._history = history
        self._sidecar: Node | None = None
        self.is_up = True
        self.is_held = False
        self.is_stalled = False
        self.waiting: list[Attempt] = []
        self.running: dict[str, tuple[Run, Attempt]] = {}

    def attach(self, sidecar: Node) -> None:
        """Take another sidecar; connections of the former are reset."""
        self._sidecar = sidecar
        self.running.clear()
        self.waiting.clear()

    def call(self, msg: CallEndpoint) -> None:
        """Take a call of the sidecar."""
        self.waiting.append(msg.attempt)

    def cancel(self, msg: CancelCall) -> None:
        """Stop an attempt."""
        self.running.pop(msg.attempt_id, None)
        self.waiting = [a for a in self.waiting if a.attempt_id != msg.attempt_id]

    def begin(self) -> bool:
        """Begin the calls that arrived; return whether there were any."""
        if self.is_held or not self.waiting:
            return False
        for attempt in self.waiting:
            self._begin(attempt)
        self.waiting.clear()
        return True

    def emit(self) -> None:
        """Produce one token of each running generation, or end it."""
        if self.is_stalled:
            return
        for run, attempt in list(self.running.values()):
            if isinstance(attempt.work, ServiceCall) or len(run.texts) == N_TOKENS:
                self.finish(run, attempt)
                continue
            run.texts.append(f"{run.attempt_id}/{len(run.texts) + 1}")
            self._tell(EndpointTokens(run.attempt_id, run.texts[-1:]))

    def finish(self, run: Run, attempt: Attempt) -> None:
        """End one attempt."""
        run.n_whole = len(run.texts)
        del self.running[run.attempt_id]
        if isinstance(attempt.work, ServiceCall):
            body = f'{{"request": "{run.request_id}"}}'.encode()
            self._tell(EndpointReplied(run.attempt_id, 200, [], body))
        else:
            self._tell(EndpointEnded(run.attempt_id, "stop"))

    def kill(self) -> None:
        """Die with all that runs."""
        self.is_up = False
        for attempt_id in list(self.running):
            del self.running[attempt_id]
            self._tell(EndpointFailed(attempt_id, True, "connection reset"))

    def _begin(self, attempt: Attempt) -> None:
        if not self.is_up:
            self._tell(EndpointFailed(attempt.attempt_id, False, "refused"))
            return
        run = Run(
            attempt.request_id,
            attempt.attempt_id,
            self.name,
            at=self._clock.now(),
            n_running=len(self.running) + 1,
        )
        self._history.runs.append(run)
        self.running[run.attempt_id] = (run, attempt)

    def _tell(self, msg: Message) -> None:
        if self._sidecar is not None and self._sidecar.is_alive:
            self._sidecar.put(msg)


class SidecarNode(Node):
    """One sidecar beside a fake endpoint."""

    __slots__ = ("attempts", "endpoint", "state")

    def __init__(
        self, endpoint: FakeEndpoint, domain: str, incarnation: str, clock: ManualClock
    ) -> None:
        super().__init__(endpoint.name)
        self.endpoint = endpoint
        self.attempts = Attempts()
        self.state = SidecarState(self.name, domain, incarnation, Catalog())
        sender: Any = Sender(self._send)
        self.pipeline = Pipeline(
            sidecar_chain(self.state, self.attempts, clock),
            [
                FrameSink(sender, *SENT_BY_SIDECAR),
                self,
                Quiet(),
                DiscardSink(
                    Tick,
                    PeerUp,
                    PeerDown,
                    StopRequested,
                    sidecar_messages.ConfigChanged,
                    Finished,
                    QueryState,
                    SendOrder,
                ),
                self.stop,
            ],
        )

    @property
    def consumers(self) -> Consumers:
        """Return what calls the endpoint."""
        return {CallEndpoint: self.endpoint.call, CancelCall: self.endpoint.cancel}
