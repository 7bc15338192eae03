"""Simulate gateways, sidecars and endpoints without sockets and timers."""

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
from hawthornyard.io import DiscardSink, FrameSink, StopSink
from hawthornyard.io.claims import ClaimTable
from hawthornyard.records import Catalog
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

TOKENS_PER_GENERATION = 8


class SimulatedProcess:
    """One process whose event loop the test runs.

    Attributes:
        name: Name of the process.
        is_frozen: Whether the process is suspended, as by SIGSTOP.
        is_alive: Whether the process is running or frozen.
        inbox: Messages that the loop has not processed yet.
        outbox: Frames sent and not yet put on a link.
        stop_sink: Sink that tells when the process has stopped by itself.
    """

    __slots__ = (
        "inbox",
        "is_alive",
        "is_frozen",
        "name",
        "outbox",
        "pipeline",
        "stop_sink",
    )

    pipeline: Pipeline

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.is_alive = True
        self.inbox: deque[Message] = deque()
        self.outbox: deque[Frame] = deque()
        self.stop_sink = StopSink()

    def put(self, msg: Message) -> None:
        """Append a message to the inbox."""
        self.inbox.append(msg)

    def process_inbox(self) -> bool:
        """Process all messages in the inbox; return whether there were any."""
        made_progress = False
        while self.inbox and self.is_alive and not self.is_frozen:
            self.pipeline.push(self.inbox.popleft())
            made_progress = True
            if self.stop_sink.is_stopped:
                self.is_alive = False
        return made_progress

    def _send(self, frame: Frame) -> None:
        self.outbox.append(frame)


class LogDiscardSink:
    """Discard the messages that a process would log."""

    __slots__ = ("consumers",)

    def __init__(self) -> None:
        self.consumers: Consumers = {Decision: self._discard, Fault: self._discard}

    def _discard(self, msg: Message) -> None:
        return


class FakeConnections:
    """Fake of a process's open connections."""

    __slots__ = ("send",)

    def __init__(self, send: Callable[[Frame], None]) -> None:
        self.send = send


class SimulatedTable:
    """An in-memory table service with fault injection.

    Attributes:
        is_down: Whether every call fails.
        n_replies_to_lose: Number of next writes that take effect but whose reply is
            lost.
    """

    __slots__ = ("is_down", "n_replies_to_lose", "rows")

    def __init__(self) -> None:
        self.rows = MemoryTable()
        self.is_down = False
        self.n_replies_to_lose = 0

    def transact(self, conditions: Sequence[Condition], puts: Sequence[Put]) -> int:
        """Write all rows or none; see `TableStore.transact`."""
        self._require_up()
        revision = self.rows.transact(conditions, puts)
        if self.n_replies_to_lose:
            self.n_replies_to_lose -= 1
            raise PlatformError("the reply of the table service was lost")
        return revision

    def scan(self, prefix: str, *, after: int = 0) -> Page:
        """Return rows below `prefix`; see `TableStore.scan`."""
        self._require_up()
        return self.rows.scan(prefix, after=after)

    def read(self, key: str) -> Row | None:
        """Return one row; see `TableStore.read`."""
        self._require_up()
        return self.rows.read(key)

    def _require_up(self) -> None:
        if self.is_down:
            raise PlatformError("the table service is down")


class ClaimWorker:
    """Execute claims step by step, in place of the green threads.

    Attributes:
        is_slow: Whether requests wait before the table is called.
        is_held: Whether answers wait after the claim was written.
        pending_claims: Claims to be written.
        pending_answers: Answers to be delivered to the process.
        pending_settlements: Settlements to be written.
    """

    __slots__ = (
        "_process",
        "_table",
        "consumers",
        "is_held",
        "is_slow",
        "pending_answers",
        "pending_claims",
        "pending_settlements",
    )

    def __init__(self, process: SimulatedProcess, table: SimulatedTable) -> None:
        self._process = process
        self._table = ClaimTable(table, lambda: 0.0)
        self.is_slow = False
        self.is_held = False
        self.pending_answers: deque[Message] = deque()
        self.pending_claims: deque[ClaimRequested] = deque()
        self.pending_settlements: deque[ClaimSettled] = deque()
        self.consumers: Consumers = {
            ClaimRequested: self.pending_claims.append,
            ClaimSettled: self.pending_settlements.append,
        }

    def process_next(self) -> bool:
        """Write pending claims or one settlement, or deliver one answer.

        Returns:
            Whether an answer was delivered or a settlement written.
        """
        if self.is_slow or not self._process.is_alive or self._process.is_frozen:
            return False
        if self.pending_claims:
            batch = list(self.pending_claims)
            self.pending_claims.clear()
            self.pending_answers.extend(self._table.claim(batch))
        if self.pending_answers and not self.is_held:
            self._process.put(self.pending_answers.popleft())
            return True
        return self._settle_next()

    def _settle_next(self) -> bool:
        for _ in range(len(self.pending_settlements)):
            settlement = self.pending_settlements.popleft()
            try:
                self._table.settle(settlement)
                return True
            except (ConflictError, PlatformError):
                self.pending_settlements.append(settlement)
        return False


class SimulatedGateway(SimulatedProcess):
    """A simulated gateway and the callers connected to it.

    Attributes:
        callers_by_call_id: Callers that wait for a reply.
        suspected_peers: Sidecars whose connection the gateway suspects of being dead.
    """

    __slots__ = (
        "callers_by_call_id",
        "catalog",
        "claims",
        "fleet",
        "inflight",
        "suspected_peers",
    )

    def __init__(
        self, name: str, clock: ManualClock, seed: int, identifiers: Any, table: Any
    ) -> None:
        super().__init__(name)
        self.catalog = Catalog()
        self.inflight = InFlight()
        self.fleet = Fleet(self.catalog, clock)
        self.callers_by_call_id: dict[str, Caller] = {}
        self.suspected_peers: set[str] = set()
        self.claims = ClaimWorker(self, table)
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
        connections: Any = FakeConnections(self._send)
        self.pipeline = Pipeline(
            chain,
            [
                Feedback(self, AttemptFailed, Closed),
                FrameSink(connections, *SENT_BY_GATEWAY),
                LogDiscardSink(),
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
                self.stop_sink,
            ],
        )

    @property
    def consumers(self) -> Consumers:
        """Return the handlers that record replies for callers."""
        return {
            ReplyStarted: self._on_reply_started,
            ReplyTokens: self._on_reply_tokens,
            ReplyEnded: self._on_reply_ended,
            ReplyResponse: self._on_reply_response,
            ReplyFailed: self._on_reply_failed,
            ConnectionSuspected: self._on_connection_suspected,
        }

    def _on_connection_suspected(self, msg: ConnectionSuspected) -> None:
        self.suspected_peers.add(msg.peer)

    def _on_reply_started(self, msg: ReplyStarted) -> None:
        if msg.call_id in self.callers_by_call_id:
            self.callers_by_call_id[msg.call_id].endpoint = msg.endpoint

    def _on_reply_tokens(self, msg: ReplyTokens) -> None:
        caller = self.callers_by_call_id.get(msg.call_id)
        if caller is None:
            return
        for index, text in enumerate(msg.texts, start=1):
            caller.tokens.append(Token(msg.attempt_id, msg.offset + index, text))

    def _on_reply_ended(self, msg: ReplyEnded) -> None:
        caller = self.callers_by_call_id.pop(msg.call_id, None)
        if caller is not None:
            caller.n_reported_tokens = msg.n_tokens

    def _on_reply_response(self, msg: ReplyResponse) -> None:
        caller = self.callers_by_call_id.pop(msg.call_id, None)
        if caller is not None:
            caller.body = msg.body

    def _on_reply_failed(self, msg: ReplyFailed) -> None:
        caller = self.callers_by_call_id.pop(msg.call_id, None)
        if caller is not None:
            caller.failure = msg.kind


class FakeEndpoint:
    """An endpoint that the test controls.

    Attributes:
        is_up: Whether the endpoint accepts connections.
        is_held: Whether calls are kept pending.
        pending: Attempts that the sidecar sent and the endpoint has not started.
        running: Runs with their attempts, by attempt identifier.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_sidecar",
        "is_held",
        "is_up",
        "name",
        "pending",
        "running",
    )

    def __init__(self, name: str, clock: ManualClock, history: History) -> None:
        self.name = name
        self._clock = clock
        self._history = history
        self._sidecar: SimulatedProcess | None = None
        self.is_up = True
        self.is_held = False
        self.pending: list[Attempt] = []
        self.running: dict[str, tuple[Run, Attempt]] = {}

    def attach(self, sidecar: SimulatedProcess) -> None:
        """Connect to another sidecar and drop the work of the previous one."""
        self._sidecar = sidecar
        self.running.clear()
        self.pending.clear()

    def call(self, msg: CallEndpoint) -> None:
        """Accept a call from the sidecar."""
        self.pending.append(msg.attempt)

    def cancel(self, msg: CancelCall) -> None:
        """Cancel an attempt, pending or running."""
        self.running.pop(msg.attempt_id, None)
        self.pending = [a for a in self.pending if a.attempt_id != msg.attempt_id]

    def start_pending(self) -> bool:
        """Start all pending attempts; return whether there were any."""
        if self.is_held or not self.pending:
            return False
        for attempt in self.pending:
            self._start(attempt)
        self.pending.clear()
        return True

    def emit_tokens(self) -> None:
        """Generate one token for each running attempt, or finish the attempt."""
        for run, attempt in list(self.running.values()):
            if (
                isinstance(attempt.work, ServiceCall)
                or len(run.texts) == TOKENS_PER_GENERATION
            ):
                self.finish(run, attempt)
                continue
            run.texts.append(f"{run.attempt_id}/{len(run.texts) + 1}")
            self._notify_sidecar(EndpointTokens(run.attempt_id, run.texts[-1:]))

    def finish(self, run: Run, attempt: Attempt) -> None:
        """Finish an attempt and report its result to the sidecar."""
        run.n_final_tokens = len(run.texts)
        del self.running[run.attempt_id]
        if isinstance(attempt.work, ServiceCall):
            body = f'{{"request": "{run.request_id}"}}'.encode()
            self._notify_sidecar(EndpointReplied(run.attempt_id, 200, [], body))
        else:
            self._notify_sidecar(EndpointEnded(run.attempt_id, "stop"))

    def kill(self) -> None:
        """Go down and fail all running attempts."""
        self.is_up = False
        for attempt_id in list(self.running):
            del self.running[attempt_id]
            self._notify_sidecar(EndpointFailed(attempt_id, True, "connection reset"))

    def _start(self, attempt: Attempt) -> None:
        if not self.is_up:
            self._notify_sidecar(EndpointFailed(attempt.attempt_id, False, "refused"))
            return
        run = Run(
            attempt.request_id,
            attempt.attempt_id,
            self.name,
            started_at=self._clock.now(),
            n_running=len(self.running) + 1,
        )
        self._history.runs.append(run)
        self.running[run.attempt_id] = (run, attempt)

    def _notify_sidecar(self, msg: Message) -> None:
        if self._sidecar is not None and self._sidecar.is_alive:
            self._sidecar.put(msg)


class SimulatedSidecar(SimulatedProcess):
    """A simulated sidecar of a fake endpoint."""

    __slots__ = ("attempts", "endpoint", "state")

    def __init__(
        self, endpoint: FakeEndpoint, domain: str, incarnation: str, clock: ManualClock
    ) -> None:
        super().__init__(endpoint.name)
        self.endpoint = endpoint
        self.attempts = Attempts()
        self.state = SidecarState(self.name, domain, incarnation, Catalog())
        connections: Any = FakeConnections(self._send)
        self.pipeline = Pipeline(
            sidecar_chain(self.state, self.attempts, clock),
            [
                FrameSink(connections, *SENT_BY_SIDECAR),
                self,
                LogDiscardSink(),
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
                self.stop_sink,
            ],
        )

    @property
    def consumers(self) -> Consumers:
        """Return the handlers that call and cancel at the endpoint."""
        return {CallEndpoint: self.endpoint.call, CancelCall: self.endpoint.cancel}
