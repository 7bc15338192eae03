"""Several edge gateways that roll out a service, on one manual clock."""

import random
from collections.abc import Callable

from features.support.edge import TICK_S, EdgeDriver
from hawthornyard.core import Message
from hawthornyard.edge.messages import (
    AttemptBroke,
    Dispatch,
    EndpointsRead,
    GatewaysRead,
    RolloutCallFailed,
    RolloutOrderRead,
    RolloutRead,
    RolloutReadRequested,
    RolloutWriteRequested,
    RolloutWritten,
    StoreRestored,
)
from hawthornyard.edge.rollout import RolloutBounds
from hawthornyard.frames import GatewayLoads, RolloutCounts, RolloutShare
from hawthornyard.rollout import RolloutOrder, RolloutState

SERVICE = "frontdesk"
BOUNDS = RolloutBounds(0.1, 50.0, 5.0)
FRAMES = (GatewayLoads, RolloutCounts, RolloutShare)
N_ENDPOINTS = 4


class RolloutFleet:
    """Gateways, the endpoints of two versions and the rows of a store.

    Attributes:
        gateways: The gateways, by number.
        rows: State and version of the row of each service.
        published: States that operators were shown, oldest first.
        is_silent: Whether the store gives no response.
        loses_responses: Whether the store performs writes and does not respond.
        refused: Writes that the store refused.
        frozen: Numbers of the gateways that do nothing.
        cut_off: Numbers of the gateways whose frames are lost both ways.
        sent: Time, gateway and version of each request that reached an endpoint.
        bad_at: Times of bad responses of the new version.
        holds_old: Whether the old version does not respond.
    """

    def __init__(self, n: int, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.now = 1000.0
        self.rows: dict[str, tuple[RolloutState, int]] = {}
        self.version = 1
        self.published: list[str] = []
        self.is_silent = self.loses_responses = False
        self.late: list[RolloutWriteRequested] = []
        self.refused: list[RolloutState] = []
        self.frozen: set[int] = set()
        self.cut_off: set[int] = set()
        self.sent: list[tuple[float, int, str]] = []
        self.bad_at: list[float] = []
        self.holds_old = False
        self.errors = {"v1": 0.0, "v2": 0.0}
        self.order: RolloutOrder | None = None
        self.n_calls = 0
        self._n = n
        self._answers: list[tuple[float, int, Dispatch]] = []
        self._n_seen = [0] * n
        self.gateways = [self._start(index) for index in range(n)]

    def _start(self, index: int) -> EdgeDriver:
        gateway = EdgeDriver(f"gateway-{index}")
        gateway.clock.advance(self.now - gateway.clock.now())
        gateway.state.rollouts.bounds = BOUNDS
        names = [f"gateway-{i}" for i in range(self._n)]
        gateway.push(GatewaysRead({name: f"peer-{name}" for name in names}))
        if self.order is not None:
            gateway.push(RolloutOrderRead(f"rollout/{SERVICE}", self.order))
        gateway.push_deployment()
        for version in ("v1", "v2"):
            for number in range(N_ENDPOINTS):
                gateway.add_endpoint(
                    f"desk-{version}-{number}", version=version, n_slots=50
                )
        self._n_seen[index] = 0
        return gateway

    def restart(self, index: int) -> None:
        """Replace a gateway by one that knows nothing but what the store says."""
        self._answers = [answer for answer in self._answers if answer[1] != index]
        self.gateways[index] = self._start(index)

    def give_order(self, to: str = "v2", duration_s: float = 12.0) -> None:
        self.version += 1
        order = RolloutOrder(SERVICE, to, duration_s, self.version)
        self.order = self.order or order
        for gateway in self.gateways:
            gateway.push(RolloutOrderRead(f"rollout/{SERVICE}", order))

    def state(self) -> RolloutState | None:
        """Return what the store has of the rollout."""
        return self.rows[SERVICE][0] if SERVICE in self.rows else None

    def holder(self) -> int:
        """Return the number of the holder that the store names."""
        state = self.state()
        assert state is not None
        return int(state.holder.removeprefix("gateway-"))

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Run until a condition holds, at most for some seconds."""
        end = self.now + seconds
        while not condition():
            assert self.now < end, (self.state(), self.published, len(self.bad_at))
            self.run(TICK_S)

    def run(self, seconds: float, per_tick: int = 10) -> None:
        """Let callers send requests to all gateways in turn."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for index, gateway in enumerate(self.gateways):
                if index not in self.frozen:
                    gateway.advance(self.now - gateway.clock.now())
                    gateway.confirm_operator_feed()
            live = [i for i in range(self._n) if i not in self.frozen]
            for _ in range(per_tick):
                self.gateways[self._random.choice(live)].call("lookup")
            self._exchange()
            self._answer()

    def restore(self, row: tuple[RolloutState, int] | None) -> None:
        """Let the store come back with another row, in a new era."""
        self.rows = {} if row is None else {SERVICE: row}
        for gateway in self.gateways:
            gateway.push(StoreRestored("operator", 2, self.now))

    def _exchange(self) -> None:
        for index, gateway in enumerate(self.gateways):
            new = gateway.messages[self._n_seen[index] :]
            self._n_seen[index] = len(gateway.messages)
            for msg in new:
                self._process(index, gateway, msg)

    def _process(self, index: int, gateway: EdgeDriver, msg: Message) -> None:
        if isinstance(msg, Dispatch):
            version = msg.endpoint.split("-")[1]
            self.sent.append((self.now, index, version))
            delay_s = self._random.lognormvariate(-3.0, 0.4)
            self._answers.append((self.now + delay_s, index, msg))
        elif isinstance(msg, FRAMES):
            receiver = int(msg.peer.removeprefix("peer-gateway-"))
            if not {index, receiver} & (self.cut_off | self.frozen):
                self.gateways[receiver].push(msg)
        elif isinstance(msg, RolloutReadRequested):
            self._read(gateway, msg)
        elif isinstance(msg, RolloutWriteRequested):
            self._write(gateway, msg)

    def _read(self, gateway: EdgeDriver, msg: RolloutReadRequested) -> None:
        self.n_calls += 1
        if self.is_silent:
            gateway.push(RolloutCallFailed(msg.service, "no response", is_write=False))
            return
        state, version = self.rows.get(msg.service, (None, 0))
        now_ms = (self.now + 500.0) * 1000.0
        asked_at = gateway.clock.now()
        gateway.push(RolloutRead(msg.service, state, version, asked_at, now_ms))

    def _write(self, gateway: EdgeDriver, msg: RolloutWriteRequested) -> None:
        self.n_calls += 1
        service = msg.state.service
        if self.is_silent:
            self.late.append(msg)
            gateway.push(RolloutCallFailed(service, "no response", is_write=True))
            return
        version = self.perform(msg)
        if self.loses_responses:
            gateway.push(RolloutCallFailed(service, "no response", is_write=True))
            return
        gateway.push(RolloutWritten(msg.state, version))

    def perform(self, msg: RolloutWriteRequested) -> int:
        """Perform a write if its condition holds, return the row's version or 0."""
        service = msg.state.service
        if self.rows.get(service, (None, 0))[1] != msg.version:
            self.refused.append(msg.state)
            return 0
        self.version += 1
        self.rows[service] = (msg.state, self.version)
        if msg.is_published:
            self.published.append(msg.state.phase.value)
        return self.version

    def _answer(self) -> None:
        waiting, self._answers = self._answers, []
        for due_at, index, dispatch in waiting:
            version = dispatch.endpoint.split("-")[1]
            is_held = self.holds_old and version == "v1"
            if self.now < due_at or index in self.frozen or is_held:
                self._answers.append((due_at, index, dispatch))
                continue
            is_bad = self._random.random() < self.errors[version]
            if is_bad and version == "v2":
                self.bad_at.append(self.now)
            self.gateways[index].answer_attempt(
                dispatch.attempt_id, 500 if is_bad else 200
            )

    def break_at_new(self, n: int, *, is_gone: bool) -> None:
        """Break attempts at one new endpoint, which may be gone afterwards."""
        name = ""
        end = self.now + 3.0
        # Before the first of them counts, so that the version still gets requests.
        while n and self.now < end:
            self.run(TICK_S, per_tick=20)
            running = [item for item in self._answers if "-v2-" in item[2].endpoint]
            name = name or (running[0][2].endpoint if running else "")
            for item in [item for item in running if item[2].endpoint == name][:n]:
                self._answers.remove(item)
                gateway = self.gateways[item[1]]
                gateway.push(AttemptBroke(item[2].attempt_id, "reset"))
                n -= 1
        assert not n, f"{n} attempts were not there to break"
        for gateway in self.gateways if is_gone else ():
            gateway.push(EndpointsRead([], [name]))

    def n_sent(self, version: str, since: float = 0.0, *, by: int | None = None) -> int:
        """Return how many requests a version got, optionally of one gateway."""
        return sum(
            at >= since and found == version and by in (None, index)
            for at, index, found in self.sent
        )
