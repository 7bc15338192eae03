"""Drive the chain of an edge gateway, which calls endpoints without sidecars."""

from collections.abc import Sequence
from typing import Any, TypeVar

from hawthornyard.core import (
    Decision,
    Drain,
    ManualClock,
    Message,
    Pipeline,
    RandomSource,
    StopListening,
    Stopped,
    StopRequested,
    Tick,
)
from hawthornyard.edge.chain import EdgeState, edge_chain
from hawthornyard.edge.deployment import (
    Deployment,
    EngineRule,
    RouteRule,
    ServiceRule,
    ServiceShare,
    TeamRule,
)
from hawthornyard.edge.directory import INITIAL_LIMITS
from hawthornyard.edge.load_aware import LoadAwareServices
from hawthornyard.edge.messages import (
    AttemptAnswered,
    AttemptBegan,
    AttemptEvents,
    AttemptFailed,
    Call,
    Cancel,
    Closed,
    CopyAnswered,
    CopyDropped,
    CopyRequested,
    DeploymentRead,
    Dispatch,
    DomainsRead,
    EndpointEntry,
    EndpointLeaving,
    EndpointRetired,
    EndpointsRead,
    Event,
    GenerationSize,
    ProbeRequested,
    ReplyBegan,
    ReplyEvents,
    ReportFailed,
    ReportRead,
    ReportRequested,
    RolloutReadRequested,
    RolloutWriteRequested,
    StoreAnswered,
    StoreFailed,
    StoreRestored,
)
from hawthornyard.frames import (
    CrashReport,
    CrashReportsRequested,
    EndpointLimit,
    EndpointPace,
    GatewayLoads,
    LeavingNotice,
    PartsSound,
    PossibleCrashReport,
    RolloutCounts,
    RolloutShare,
)
from hawthornyard.gateway.messages import (
    CallerGone,
    ReplyEnded,
    ReplyFailed,
    ReplyResponse,
)

START_TIME_S = 1000.0
TICK_S = 0.05
KEY = "key-of-kiosk"
OTHER_KEY = "key-of-ferry"
ENGINE = EngineRule(
    24,
    34_000,
    163_840,
    3e9,
    can_migrate=True,
    can_mirror=True,
    tokens_per_event=4,
)
ROUTES = {
    "summary": RouteRule(
        "summary",
        "kiosk.example",
        "/summary/",
        [ServiceShare("scribe", 1.0)],
        is_stream=True,
        timeout_s=39.0,
        target_s=1.8,
        gap_target_s=0.18,
        priority=1,
    ),
    "draft": RouteRule(
        "draft",
        "kiosk.example",
        "/draft/",
        [ServiceShare("scribe", 1.0)],
        is_idempotent=True,
        timeout_s=39.0,
        target_s=1.8,
        max_attempts=2,
    ),
    "badge": RouteRule(
        "badge",
        "kiosk.example",
        "/badge/",
        [ServiceShare("frontdesk", 1.0)],
        timeout_s=1.0,
        target_s=0.2,
    ),
    "lookup": RouteRule(
        "lookup",
        "kiosk.example",
        "/lookup/",
        [ServiceShare("frontdesk", 1.0)],
        is_idempotent=True,
        timeout_s=1.0,
        target_s=0.2,
        max_attempts=2,
    ),
}

PROMPTED_KINDS = ("summary", "draft")
"""Kinds of request that have a prompt."""

M = TypeVar("M", bound=Message)


class SteppingClock(ManualClock):
    """Manual clock that can also advance with each reading.

    Attributes:
        step_s: Seconds that a reading takes.
    """

    __slots__ = ("step_s",)

    def __init__(self, now: float) -> None:
        super().__init__(now)
        self.step_s = 0.0

    def now(self) -> float:
        self.advance(self.step_s)
        return super().now()


class FirstChoiceRandom:
    """Random source that always picks a route's first service."""

    def random(self) -> float:
        return 0.0

    def sample(self, population: Any, k: int) -> Any:
        return list(population)[:k]


class EdgeDriver:
    """The chain of one edge gateway, with a manual clock.

    Attributes:
        state: State of the chain.
        messages: Messages that the chain sent to its sinks.
        n_calls: Number of calls made.
    """

    __slots__ = (
        "clock",
        "drain",
        "messages",
        "n_calls",
        "pipeline",
        "requests",
        "state",
    )

    def __init__(
        self,
        name: str = "gateway-1",
        *,
        random_source: RandomSource | None = None,
        load_aware: LoadAwareServices | None = None,
        takes_prefill_turns: bool = False,
    ) -> None:
        self.clock = SteppingClock(START_TIME_S)
        self.state = EdgeState(name, self.clock)
        self.state.retry_budget.set_limits(ratio=0.2, slack=10.0, window_s=10.0)
        self.messages: list[Message] = []
        self.n_calls = 0
        self.requests: dict[str, str] = {}
        self.drain = Drain(self.state.inflight, self.clock, readiness_lag_s=3.0)
        chain = edge_chain(
            self.state,
            self.drain,
            self.clock,
            random_source or FirstChoiceRandom(),
            load_aware=load_aware,
            takes_prefill_turns=takes_prefill_turns,
        )
        self.pipeline = Pipeline(chain, [self])

    @property
    def consumers(self) -> dict[type[Message], Any]:
        recorded = (
            Cancel,
            CopyRequested,
            CopyDropped,
            CrashReport,
            CrashReportsRequested,
            Decision,
            Dispatch,
            EndpointLimit,
            EndpointPace,
            GatewayLoads,
            LeavingNotice,
            PartsSound,
            PossibleCrashReport,
            ProbeRequested,
            ReplyBegan,
            ReplyEnded,
            ReplyEvents,
            ReplyFailed,
            ReplyResponse,
            ReportRequested,
            RolloutCounts,
            RolloutReadRequested,
            RolloutShare,
            RolloutWriteRequested,
            StopListening,
        )
        discarded = (
            CallerGone,
            CopyAnswered,
            EndpointLeaving,
            EndpointRetired,
            EndpointsRead,
            ReportFailed,
            ReportRead,
            StoreAnswered,
            StoreFailed,
            StoreRestored,
            Stopped,
            StopRequested,
            Tick,
        )
        return {
            **dict.fromkeys(recorded, self.messages.append),
            **dict.fromkeys(discarded, lambda msg: None),
            AttemptFailed: self.push,
            Closed: self.push,
        }

    def push(self, msg: Message) -> None:
        self.pipeline.push(msg)

    def messages_of(self, cls: type[M]) -> list[M]:
        """Return the recorded messages of a class, oldest first."""
        return [msg for msg in self.messages if isinstance(msg, cls)]

    def last_message(self, cls: type[M]) -> M:
        """Return the newest recorded message of a class."""
        found = self.messages_of(cls)
        assert found, f"no {cls.__name__} among {self.messages}"
        return found[-1]

    def advance(self, seconds: float) -> None:
        """Advance the clock and push a tick every TICK_S seconds."""
        until = self.clock.now() + seconds
        while self.clock.now() < until - 1e-9:
            self.clock.advance(min(TICK_S, until - self.clock.now()))
            self.push(Tick(self.clock.now()))

    def push_deployment(
        self,
        version: int = 1,
        routes: list[RouteRule] | None = None,
        *,
        key: str = KEY,
        revision: int = 0,
        answered_at: float | None = None,
        engine: EngineRule = ENGINE,
    ) -> None:
        deployment = Deployment(
            version,
            list(ROUTES.values()) if routes is None else routes,
            [
                ServiceRule(
                    "scribe",
                    cold_requests_per_s=10.0,
                    engine=engine,
                    health_path="/health",
                ),
                ServiceRule("frontdesk"),
            ],
            [TeamRule("kiosk", [key]), TeamRule("ferry", [OTHER_KEY])],
            INITIAL_LIMITS,
        )
        self.push(DeploymentRead(deployment, revision, answered_at))
        self.push(DomainsRead(frozenset()))
        self.confirm_operator_feed()

    def confirm_operator_feed(self) -> None:
        """Report that the store answered the operator feed just now."""
        self.push(StoreAnswered("operator", self.clock.now()))

    def add_endpoint(self, name: str, **fields: Any) -> None:
        self.push(EndpointsRead([self.endpoint_entry(name, **fields)]))

    def endpoint_entry(self, name: str, **fields: Any) -> EndpointEntry:
        service = "scribe" if name.startswith("engine") else "frontdesk"
        n_slots = 24 if service == "scribe" else 6
        domain = fields.pop("failure_domain", "new-kingston")
        fields.setdefault("n_slots", n_slots)
        return EndpointEntry(name, service, f"{name}:80", domain, **fields)

    def call(
        self,
        kind: str,
        *,
        n_prompt_tokens: int = 3000,
        n_output_tokens: int = 900,
        max_tokens: int | None = None,
        prefix: Sequence[str] = (),
        key: str = KEY,
        timeout_s: float | None = None,
    ) -> str:
        """Push a call of a route and return its identifier."""
        self.n_calls += 1
        call_id = f"call-{self.n_calls}"
        size = None
        if kind in PROMPTED_KINDS:
            size = GenerationSize(
                "m",
                n_prompt_tokens,
                n_output_tokens if max_tokens is None else max_tokens,
                expected_tokens=n_output_tokens,
                prefix=prefix,
            )
        self.push(
            Call(
                call_id,
                f"request-{self.n_calls}",
                "kiosk.example",
                f"/{kind}/1",
                key=key,
                timeout_s=timeout_s or (39.0 if kind in PROMPTED_KINDS else 1.0),
                size=size,
            )
        )
        return call_id

    def dispatches(self, call_id: str) -> list[Dispatch]:
        return [
            msg for msg in self.messages_of(Dispatch) if msg.call.call_id == call_id
        ]

    def begin_stream(self, attempt_id: str) -> None:
        self.push(AttemptBegan(attempt_id, 200, []))

    def push_events(self, attempt_id: str, first: int, last: int) -> None:
        """Push the events numbered `first` to `last` of an attempt's stream."""
        numbers = range(first, last + 1)
        events = [Event(number, b"%d;" % number) for number in numbers]
        self.push(AttemptEvents(attempt_id, events))

    def answer_attempt(self, attempt_id: str, status: int = 200) -> None:
        self.push(AttemptAnswered(attempt_id, status, [], b"body"))

    def delivered_bytes(self, call_id: str) -> bytes:
        """Return the stream data delivered to a caller."""
        parts = [
            msg.data for msg in self.messages_of(ReplyEvents) if msg.call_id == call_id
        ]
        return b"".join(parts)
