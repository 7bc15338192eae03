"""Replay load at gateways before engines whose memory fills, on a manual clock."""

from features.support.edge import TICK_S, EdgeDriver
from hawthornyard.core import Message
from hawthornyard.edge.deployment import EngineRule, RouteRule, ServiceShare
from hawthornyard.edge.load_aware import LoadAwareServices
from hawthornyard.edge.messages import (
    AttemptEnded,
    AttemptRefused,
    Call,
    Dispatch,
    GatewaysRead,
    GenerationSize,
    ReplyEvents,
)
from hawthornyard.frames import GatewayLoads
from hawthornyard.gateway.messages import ReplyEnded, ReplyFailed

PREFILL_PER_S = 14_000.0
GAP_S = 0.05
N_SLOTS = 64
MEMORY_TOKENS = 34_000
TOKENS_PER_EVENT = 4
ENGINE = EngineRule(N_SLOTS, MEMORY_TOKENS, 1, 1.0, tokens_per_event=TOKENS_PER_EVENT)
# By route: prompt tokens, events, target and time limit in seconds.
KINDS = {"long": (3000, 187, 4.0, 39.0), "short": (2200, 4, 1.5, 6.0)}


class Caller:
    """A caller, its refusals, and what became of its request."""

    __slots__ = (
        "first_at",
        "is_done",
        "is_large",
        "kind",
        "n_refusals",
        "sent_at",
    )

    def __init__(self, kind: str, sent_at: float, *, is_large: bool) -> None:
        self.kind = kind
        self.sent_at = sent_at
        self.is_large = is_large
        self.first_at = float("inf")
        self.is_done = False
        self.n_refusals = 0

    @property
    def is_on_time(self) -> bool:
        return self.is_done and self.first_at - self.sent_at <= KINDS[self.kind][2]


class Run:
    """A request at an engine."""

    __slots__ = ("dispatch", "gateway", "n_left", "n_sent", "next_at", "tokens")

    def __init__(self, dispatch: Dispatch, gateway: EdgeDriver, n_events: int) -> None:
        assert dispatch.call.size is not None
        self.dispatch = dispatch
        self.gateway = gateway
        self.tokens = dispatch.call.size.n_tokens
        self.n_left = n_events
        self.n_sent = 0
        self.next_at = 0.0


class FakeEngine:
    """Engine that reads one prompt at a time and queues what its memory can't hold."""

    __slots__ = ("_free_at", "most_queued", "running", "waiting")

    def __init__(self) -> None:
        self._free_at = 0.0
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.most_queued = 0

    @property
    def used(self) -> int:
        return sum(run.tokens for run in self.running)

    def step(self, now: float) -> list[Run]:
        """Start what fits and return the runs with an event due."""
        while self.waiting and (
            not self.running or self.used + self.waiting[0].tokens <= MEMORY_TOKENS
        ):
            run = self.waiting.pop(0)
            n_prompt = run.dispatch.call.size.n_prompt_tokens
            self._free_at = max(self._free_at, now) + n_prompt / PREFILL_PER_S
            run.next_at = self._free_at
            self.running.append(run)
        self.most_queued = max(self.most_queued, len(self.waiting))
        return [run for run in self.running if run.next_at <= now]


class Replay:
    """Gateways, their engines and their callers."""

    __slots__ = (
        "_by_call",
        "_due",
        "_n_seen",
        "_returning",
        "callers",
        "does_retry_at_once",
        "engines",
        "gateways",
    )

    def __init__(
        self, n_gateways: int, n_engines: int, load_aware: LoadAwareServices | None
    ) -> None:
        names = {f"gateway-{index}": str(index) for index in range(n_gateways)}
        self.gateways = [EdgeDriver(name, load_aware=load_aware) for name in names]
        self.engines = {f"engine-{index}": FakeEngine() for index in range(n_engines)}
        self.callers: list[Caller] = []
        self.does_retry_at_once = False
        self._by_call: dict[str, Caller] = {}
        self._returning: list[tuple[float, Caller]] = []
        self._due = dict.fromkeys(KINDS, 0.0)
        self._n_seen = [0] * n_gateways
        for gateway in self.gateways:
            gateway.push(GatewaysRead(names))
            gateway.push_deployment(
                routes=[_route(kind) for kind in KINDS], engine=ENGINE
            )
            for name in self.engines:
                gateway.add_endpoint(name, failure_domain=name, n_slots=N_SLOTS)

    @property
    def now(self) -> float:
        return self.gateways[0].clock.now()

    def run(self, seconds: float, rates: dict[str, float]) -> None:
        """Replay new callers of each kind at a rate a second."""
        for _ in range(round(seconds / TICK_S)):
            self._call_all(rates)
            for gateway in self.gateways:
                gateway.confirm_operator_feed()
                gateway.advance(TICK_S)
            self._step_engines()
            self._read_messages()

    def leave(self, n_engines: int, notice_s: float, rates: dict[str, float]) -> None:
        """Let engines announce that they leave, and end after a notice."""
        names = list(self.engines)[:n_engines]
        for gateway in self.gateways:
            for name in names:
                gateway.add_endpoint(name, n_slots=N_SLOTS, is_draining=True)
        self.run(notice_s, rates)
        for name in names:
            del self.engines[name]

    def of_kind(self, kind: str, *, is_large: bool | None = None) -> list[Caller]:
        return [
            caller
            for caller in self.callers
            if caller.kind == kind and is_large in (None, caller.is_large)
        ]

    def _call_all(self, rates: dict[str, float]) -> None:
        due = [caller for at, caller in self._returning if at <= self.now]
        self._returning = [item for item in self._returning if item[0] > self.now]
        for kind, rate in rates.items():
            self._due[kind] += rate * TICK_S
            while self._due[kind] >= 1.0:
                self._due[kind] -= 1.0
                is_large = len(self.of_kind(kind)) % 10 == 9
                due.append(Caller(kind, self.now, is_large=is_large))
                self.callers.append(due[-1])
        for caller in due:
            self._call(caller)

    def _call(self, caller: Caller) -> None:
        call_id = f"call-{len(self._by_call)}"
        gateway = self.gateways[len(self._by_call) % len(self.gateways)]
        self._by_call[call_id] = caller
        n_prompt, n_events, _, timeout_s = KINDS[caller.kind]
        n_output = n_events * TOKENS_PER_EVENT
        n_prompt *= 1 + caller.is_large
        size = GenerationSize("m", n_prompt, n_output, expected_tokens=n_output)
        timeout_s -= self.now - caller.sent_at
        path = f"/{caller.kind}/1"
        gateway.push(
            Call(
                call_id, call_id, "kiosk.example", path, timeout_s=timeout_s, size=size
            )
        )
        self._read_messages()

    def _read_messages(self) -> None:
        for index, gateway in enumerate(self.gateways):
            new = gateway.messages[self._n_seen[index] :]
            self._n_seen[index] = len(gateway.messages)
            for msg in new:
                self._on_message(gateway, msg)

    def _on_message(self, gateway: EdgeDriver, msg: Message) -> None:
        if isinstance(msg, GatewayLoads):
            self.gateways[int(msg.peer)].push(msg)
        elif isinstance(msg, Dispatch) and msg.endpoint in self.engines:
            n_events = KINDS[self._by_call[msg.call.call_id].kind][1]
            self.engines[msg.endpoint].waiting.append(Run(msg, gateway, n_events))
        elif isinstance(msg, Dispatch):
            gateway.push(AttemptRefused(msg.attempt_id, "gone", is_absent=True))
        elif isinstance(msg, ReplyEvents):
            caller = self._by_call[msg.call_id]
            caller.first_at = min(caller.first_at, self.now)
        elif isinstance(msg, ReplyEnded):
            self._by_call[msg.call_id].is_done = True
        elif isinstance(msg, ReplyFailed):
            self._note_failure(self._by_call[msg.call_id], msg)

    def _note_failure(self, caller: Caller, msg: ReplyFailed) -> None:
        if msg.kind.value != "overloaded" or msg.retry_after_s is None:
            return
        caller.n_refusals += 1
        if caller.n_refusals == 1:
            delay_s = 0.0 if self.does_retry_at_once else msg.retry_after_s
            self._returning.append((self.now + delay_s, caller))

    def _step_engines(self) -> None:
        for engine in self.engines.values():
            for run in engine.step(self.now):
                run.n_sent += 1
                run.n_left -= 1
                run.next_at += GAP_S
                attempt_id = run.dispatch.attempt_id
                if run.n_sent == 1:
                    run.gateway.begin_stream(attempt_id)
                run.gateway.push_events(attempt_id, run.n_sent, run.n_sent)
                if not run.n_left:
                    engine.running.remove(run)
                    run.gateway.push(AttemptEnded(attempt_id))


def _route(kind: str) -> RouteRule:
    _, _, target_s, timeout_s = KINDS[kind]
    return RouteRule(
        kind,
        "kiosk.example",
        f"/{kind}/",
        [ServiceShare("scribe", 1.0)],
        is_stream=True,
        is_public=True,
        timeout_s=timeout_s,
        target_s=target_s,
        gap_target_s=0.18,
    )
