"""Drive the chain of a gateway that calls endpoints itself, without sockets."""

from typing import Any, TypeVar

from hawthornyard.core import (
    Decision,
    Drain,
    ManualClock,
    Message,
    Pipeline,
    RandomSource,
    StopListening,
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
    EndpointsRead,
    Event,
    GenerationSize,
    ReplyBegan,
    ReplyEvents,
    ReportRequested,
    StoreAnswered,
    StoreFailed,
)
from hawthornyard.frames import GatewayLoads, LeavingNotice
from hawthornyard.gateway.messages import (
    CallerGone,
    ReplyEnded,
    ReplyFailed,
    ReplyResponse,
)

START = 1000.0
TICK_S = 0.05
KEY = "key-of-kiosk"
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

M = TypeVar("M", bound=Message)


class FirstChoice:
    """Draw the smallest number, so that a route's first service is chosen."""

    def random(self) -> float:
        return 0.0

    def sample(self, population: Any, k: int) -> Any:
        return list(population)[:k]


class EdgeDrive:
    """One gateway's chain, a clock that is moved by hand, and all that came out."""

    __slots__ = ("clock", "drain", "n_calls", "out", "pipeline", "requests", "state")

    def __init__(
        self, name: str = "gateway-1", *, chance: RandomSource | None = None
    ) -> None:
        self.clock = ManualClock(START)
        self.state = EdgeState(name, self.clock)
        self.state.retry_budget.set_limits(ratio=0.2, slack=10.0, window_s=10.0)
        self.out: list[Message] = []
        self.n_calls = 0
        self.requests: dict[str, str] = {}
        self.drain = Drain(self.state.inflight, self.clock, readiness_lag_s=3.0)
        chain = edge_chain(self.state, self.drain, self.clock, chance or FirstChoice())
        self.pipeline = Pipeline(chain, [self])

    @property
    def consumers(self) -> dict[type[Message], Any]:
        kept = (
            Cancel,
            CopyRequested,
            CopyDropped,
            Decision,
            Dispatch,
            GatewayLoads,
            LeavingNotice,
            ReplyBegan,
            ReplyEnded,
            ReplyEvents,
            ReplyFailed,
            ReplyResponse,
            ReportRequested,
            StopListening,
        )
        dropped = (
            CallerGone,
            CopyAnswered,
            EndpointLeaving,
            EndpointsRead,
            StoreAnswered,
            StoreFailed,
            Tick,
        )
        return {
            **dict.fromkeys(kept, self.out.append),
            **dict.fromkeys(dropped, lambda msg: None),
            AttemptFailed: self.push,
            Closed: self.push,
        }

    def push(self, msg: Message) -> None:
        self.pipeline.push(msg)

    def all(self, cls: type[M]) -> list[M]:
        return [msg for msg in self.out if isinstance(msg, cls)]

    def last(self, cls: type[M]) -> M:
        found = self.all(cls)
        assert found, f"no {cls.__name__} among {self.out}"
        return found[-1]

    def advance(self, seconds: float) -> None:
        until = self.clock.now() + seconds
        while self.clock.now() < until - 1e-9:
            self.clock.advance(min(TICK_S, until - self.clock.now()))
            self.push(Tick(self.clock.now()))

    def deploy(self, version: int = 1, routes: list[RouteRule] | None = None) -> None:
        deployment = Deployment(
            version,
            list(ROUTES.values()) if routes is None else routes,
            [
                ServiceRule("scribe", cold_requests_per_s=10.0, engine=ENGINE),
                ServiceRule("frontdesk"),
            ],
            [TeamRule("kiosk", [KEY])],
            INITIAL_LIMITS,
        )
        self.push(DeploymentRead(deployment))
        self.push(DomainsRead(frozenset()))
        self.confirm()

    def confirm(self) -> None:
        self.push(StoreAnswered("operator", self.clock.now()))

    def add(self, name: str, **fields: Any) -> None:
        self.push(EndpointsRead([self.entry(name, **fields)]))

    def entry(self, name: str, **fields: Any) -> EndpointEntry:
        service = "scribe" if name.startswith("engine") else "frontdesk"
        slots = 24 if service == "scribe" else 6
        domain = fields.pop("failure_domain", "new-kingston")
        fields.setdefault("n_slots", slots)
        return EndpointEntry(name, service, f"{name}:80", domain, **fields)

    def call(self, kind: str, *, n_prompt: int = 3000, n_output: int = 900) -> str:
        self.n_calls += 1
        call_id = f"call-{self.n_calls}"
        size = None
        if kind == "summary":
            size = GenerationSize("m", n_prompt, n_output, expected_tokens=n_output)
        self.push(
            Call(
                call_id,
                f"request-{self.n_calls}",
                "kiosk.example",
                f"/{kind}/1",
                key=KEY,
                timeout_s=39.0 if kind == "summary" else 1.0,
                size=size,
            )
        )
        return call_id

    def dispatches(self, call_id: str) -> list[Dispatch]:
        return [msg for msg in self.all(Dispatch) if msg.call.call_id == call_id]

    def begin_stream(self, attempt_id: str) -> None:
        self.push(AttemptBegan(attempt_id, 200, []))

    def events(self, attempt_id: str, first: int, last: int) -> None:
        numbers = range(first, last + 1)
        events = [Event(number, b"%d;" % number) for number in numbers]
        self.push(AttemptEvents(attempt_id, events))

    def answer(self, attempt_id: str, status: int = 200) -> None:
        self.push(AttemptAnswered(attempt_id, status, [], b"body"))

    def delivered(self, call_id: str) -> bytes:
        parts = [msg.data for msg in self.all(ReplyEvents) if msg.call_id == call_id]
        return b"".join(parts)
