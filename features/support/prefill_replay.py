"""Replay arrivals of long and short prompts at engines that read one after another."""

import random
from collections.abc import Callable

from features.support.edge import KEY, EdgeDriver
from hawthornyard.edge.deployment import RouteRule, ServiceShare
from hawthornyard.edge.messages import (
    AttemptEnded,
    Call,
    Dispatch,
    GatewaysRead,
    GenerationSize,
)
from hawthornyard.frames import GatewayLoads

STEP_S = 0.01
TOKENS_PER_S = 9000.0
PROMPT_TOKENS = {"long": 3000, "short": 400}
TARGETS_S = {"long": 1.8, "short": 0.5}
ROUTES = [
    RouteRule(
        name,
        "kiosk.example",
        f"/{name}/",
        [ServiceShare("scribe", 1.0)],
        is_stream=True,
        timeout_s=20.0,
        target_s=target_s,
    )
    for name, target_s in TARGETS_S.items()
]

Load = Callable[[float], dict[str, float]]
"""Requests a second of each kind, by the seconds since the start."""


class Reading:
    """A prompt at an engine.

    Attributes:
        kind: Kind of the request.
        sent_at: Seconds at which it was dispatched.
        begins_at: Seconds at which the engine begins to read it.
        ends_at: Seconds at which it is read.
    """

    __slots__ = (
        "attempt_id",
        "begins_at",
        "endpoint",
        "ends_at",
        "gateway",
        "kind",
        "sent_at",
    )

    def __init__(
        self, msg: Dispatch, gateway: EdgeDriver, sent_at: float, begins_at: float
    ) -> None:
        self.attempt_id = msg.attempt_id
        self.endpoint = msg.endpoint
        self.gateway = gateway
        self.kind = msg.call.path.split("/")[1]
        self.sent_at = sent_at
        self.begins_at = begins_at
        self.ends_at = begins_at + PROMPT_TOKENS[self.kind] / TOKENS_PER_S


class PrefillReplay:
    """Gateways, and engines that read prompts in the order of their arrival.

    Attributes:
        gateways: The gateways, by number.
        first_events_s: Seconds to the first event of each request, by kind.
        readings: All prompts that were dispatched.
        leaving: Name of the engine that leaves halfway, empty for none.
    """

    __slots__ = (
        "_free_at",
        "_frames",
        "_is_begun",
        "_random",
        "first_events_s",
        "gateways",
        "leaving",
        "readings",
    )

    def __init__(
        self, n_gateways: int, n_engines: int, *, seed: int, takes_turns: bool
    ) -> None:
        self._random = random.Random(seed)
        self._free_at = {f"engine-{i}": 0.0 for i in range(n_engines)}
        self._frames: list[GatewayLoads] = []
        self._is_begun: set[str] = set()
        self.first_events_s: dict[str, list[float]] = {kind: [] for kind in TARGETS_S}
        self.readings: list[Reading] = []
        self.leaving = ""
        addresses = {f"gateway-{i}": str(i) for i in range(n_gateways)}
        self.gateways = [
            EdgeDriver(
                name,
                random_source=random.Random(f"{seed} {name}"),
                takes_prefill_turns=takes_turns,
            )
            for name in addresses
        ]
        for gateway in self.gateways:
            gateway.push(GatewaysRead(addresses))
            gateway.push_deployment(routes=ROUTES)
            for name in self._free_at:
                gateway.add_endpoint(name)
                endpoint = gateway.state.endpoints.get(name)
                assert endpoint is not None
                endpoint.note_prefill(int(TOKENS_PER_S), 1.0)

    def run(self, seconds: float, load: Load) -> None:
        """Play arrivals at random times, then let all requests end."""
        for step in range(round((seconds + 5.0) / STEP_S)):
            now = step * STEP_S
            self._arrive(now, load(now) if now < seconds else {})
            if self.leaving and step == round(seconds / 2 / STEP_S):
                for gateway in self.gateways:
                    gateway.add_endpoint(self.leaving, is_draining=True)
            for gateway in self.gateways:
                gateway.advance(STEP_S)
                gateway.confirm_operator_feed()
            self._exchange(now)
            self._end_readings(now)

    def call(self, gateway: EdgeDriver, kind: str) -> None:
        """Send a request of a kind to a gateway."""
        gateway.n_calls += 1
        call_id = f"{kind}-{gateway.n_calls}"
        size = GenerationSize("m", PROMPT_TOKENS[kind], 8, expected_tokens=8)
        gateway.push(
            Call(
                call_id,
                f"{gateway.state.name}-{call_id}",
                "kiosk.example",
                f"/{kind}/1",
                key=KEY,
                timeout_s=20.0,
                size=size,
            )
        )

    def n_meetings(self) -> int:
        """Return how many long prompts were sent to an engine with one unread."""
        long = [reading for reading in self.readings if reading.kind == "long"]
        return sum(
            any(
                other.endpoint == reading.endpoint
                and other.sent_at <= reading.sent_at < other.ends_at
                for other in long[:index]
            )
            for index, reading in enumerate(long)
        )

    def _arrive(self, now: float, rates: dict[str, float]) -> None:
        for kind, per_s in rates.items():
            if self._random.random() < per_s * STEP_S:
                self.call(self._random.choice(self.gateways), kind)

    def _exchange(self, now: float) -> None:
        # Frames arrive a step after they were sent.
        frames, self._frames = self._frames, []
        for frame in frames:
            self.gateways[int(frame.peer)].push(frame)
        for gateway in self.gateways:
            for msg in gateway.messages:
                if isinstance(msg, GatewayLoads):
                    self._frames.append(msg)
                elif isinstance(msg, Dispatch):
                    begins_at = max(now, self._free_at[msg.endpoint])
                    reading = Reading(msg, gateway, now, begins_at)
                    self._free_at[msg.endpoint] = reading.ends_at
                    self.readings.append(reading)
            gateway.messages.clear()

    def _end_readings(self, now: float) -> None:
        for reading in self.readings:
            key = f"{reading.gateway.state.name} {reading.attempt_id}"
            if reading.ends_at > now or key in self._is_begun:
                continue
            self._is_begun.add(key)
            request = reading.gateway.state.inflight.by_attempt(reading.attempt_id)
            assert request is not None
            reading.gateway.begin_stream(reading.attempt_id)
            reading.gateway.push_events(reading.attempt_id, 1, 1)
            assert request.first_event_s is not None
            self.first_events_s[reading.kind].append(request.first_event_s)
            reading.gateway.push(AttemptEnded(reading.attempt_id, is_delimited=True))
