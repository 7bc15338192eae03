"""Drive a request to an exact step and inject a fault there."""

from collections.abc import Callable

from features.support.history import Caller
from features.support.world import World
from hawthornyard.core import StopRequested
from hawthornyard.gateway.messages import CallerGone
from hawthornyard.sidecar.messages import Attempt
from hawthornyard.sidecar.reply.attach import RETENTION_S

FIRST_GATEWAY = "gateway-1"
SECOND_GATEWAY = "gateway-2"
THIRD_GATEWAY = "gateway-3"
UNSENT = "unsent"
CALLER_TIMEOUT_S = 5.0
"""Time after which a caller gives up and retries at another gateway."""
SHORT_FAULT_S = 4.0
LONG_FAULT_S = 20.0
HIGHEST_PRIORITY = 9


class FaultScenario:
    """A simulated deployment and the one request that faults are aimed at.

    Attributes:
        world: The simulated deployment.
        kind: "generation" or "badge issue".
        caller: Caller of the request; its request_id is UNSENT before it is sent.
        retries: Callers of the retries, in order.
    """

    __slots__ = ("caller", "kind", "retries", "world")

    def __init__(self, kind: str, *, seed: int = 1) -> None:
        self.kind = kind
        self.world = World(seed=seed, n_gateways=3)
        self.caller = Caller(UNSENT)
        self.retries: list[Caller] = []

    @property
    def endpoint(self) -> str:
        """Return the endpoint that runs the request, by default the first eligible."""
        return self.caller.endpoint or self.eligible_endpoints[0]

    @property
    def eligible_endpoints(self) -> list[str]:
        """Return the endpoints that can serve the kind of request."""
        kind = "engine" if self.kind == "generation" else "service"
        return [name for name in self.world.endpoints if name.startswith(kind)]

    def send(self, gateway: str = FIRST_GATEWAY, request_id: str = "request") -> Caller:
        """Send a request of the scenario's kind."""
        if self.kind == "generation":
            return self.world.generate(gateway, request_id)
        return self.world.issue_badge(gateway, request_id, key="key")

    def retry(self, gateway: str = SECOND_GATEWAY) -> None:
        """Resume or resend the request as a caller does after a timeout.

        Does nothing for a request that is unsent, complete or failed.
        """
        if self.caller.request_id == UNSENT or self.caller.is_complete:
            return
        if self.caller.failure:
            return
        if self.caller.tokens:
            self.world.disconnect_caller(self.caller)
            self.world.reconnect(self.caller, gateway)
            return
        self.world.disconnect_caller(self.caller)
        self.retries.append(self.send(gateway, f"retry-{len(self.retries)}"))

    def advance_to(self, step: str) -> None:
        """Drive the request to a step named in _STEPS."""
        _STEPS[step](self)

    def inject(self, fault: str) -> None:
        """Inject a fault named in _FAULTS, with its recovery if it has one."""
        _FAULTS[fault](self)

    def finish(self) -> None:
        """Release all held work and run until all callers are answered.

        Sends the request first if no step has sent it.
        """
        self.release_held()
        if self.caller.request_id == UNSENT:
            gateways = self.world.gateways.values()
            self.caller = self.send(next(g.name for g in gateways if g.is_alive))
        self.world.settle_all()

    def release_held(self) -> None:
        """Release links, endpoints and claims that a step held."""
        for link in self.world.links.values():
            link.is_held = False
        for endpoint in self.world.endpoints.values():
            endpoint.is_held = False
        for gateway in self.world.gateways.values():
            gateway.claims.is_held = False


def _before_decode(scenario: FaultScenario) -> None:
    return


def _claim_written(scenario: FaultScenario) -> None:
    scenario.world.gateways[FIRST_GATEWAY].claims.is_held = True
    _send(scenario)
    assert scenario.world.gateways[FIRST_GATEWAY].claims.pending_answers


def _before_dispatch(scenario: FaultScenario) -> None:
    while _has_free_slot(scenario):
        _occupy_slot(scenario, SECOND_GATEWAY)
        # Longer than the heartbeat interval of 1 s, so that FIRST_GATEWAY learns of
        # the slot in use.
        scenario.world.advance(1.2)
    _send(scenario)
    assert not scenario.caller.endpoint


def _has_free_slot(scenario: FaultScenario) -> bool:
    views = scenario.world.gateways[FIRST_GATEWAY].fleet.views()
    return any(
        view.n_free(HIGHEST_PRIORITY)
        for view in views
        if view.endpoint in scenario.eligible_endpoints
    )


def _dispatched(scenario: FaultScenario) -> None:
    _hold_links(scenario)
    _send(scenario)
    assert scenario.caller.endpoint


def _queued(scenario: FaultScenario) -> None:
    for _ in scenario.eligible_endpoints:
        _occupy_slot(scenario, SECOND_GATEWAY)
    _send(scenario)
    assert _find_attempt(scenario).started_at is None


def _admitted(scenario: FaultScenario) -> None:
    for endpoint in scenario.world.endpoints.values():
        endpoint.is_held = True
    _send(scenario)
    assert _find_attempt(scenario).started_at is not None
    assert not scenario.world.history.runs


def _running(scenario: FaultScenario) -> None:
    _send(scenario)
    assert scenario.world.history.runs


def _first_token(scenario: FaultScenario) -> None:
    _emit_tokens(scenario, 1)


def _mid_stream(scenario: FaultScenario) -> None:
    _emit_tokens(scenario, 4)


def _last_token(scenario: FaultScenario) -> None:
    _emit_tokens(scenario, 8)


def _ended_unacknowledged(scenario: FaultScenario) -> None:
    if scenario.kind == "generation":
        _emit_tokens(scenario, 8)
    else:
        _running(scenario)
    _hold_links(scenario)
    scenario.world.endpoints[scenario.endpoint].emit_tokens()
    scenario.world.run_until_idle()
    assert _find_attempt(scenario).final_frame is not None


_STEPS: dict[str, Callable[[FaultScenario], None]] = {
    "before decode": _before_decode,
    "after the claim is written": _claim_written,
    "before dispatch": _before_dispatch,
    "dispatched and not received": _dispatched,
    "received and not admitted": _queued,
    "admitted and not begun": _admitted,
    "begun": _running,
    "first token": _first_token,
    "mid-stream": _mid_stream,
    "last token before the end": _last_token,
    "ended and not acknowledged": _ended_unacknowledged,
}


def _send(scenario: FaultScenario) -> None:
    scenario.caller = scenario.send()
    scenario.world.run_until_idle()


def _occupy_slot(scenario: FaultScenario, gateway: str) -> None:
    name = f"occupier-{len(scenario.world.history.callers)}"
    if scenario.kind == "generation":
        scenario.world.generate(gateway, name)
    else:
        scenario.world.issue_badge(gateway, name)
    scenario.world.run_until_idle()


def _emit_tokens(scenario: FaultScenario, n_tokens: int) -> None:
    _send(scenario)
    for _ in range(n_tokens):
        scenario.world.endpoints[scenario.endpoint].emit_tokens()
        scenario.world.run_until_idle()
    assert len(scenario.caller.tokens) == n_tokens


def _hold_links(scenario: FaultScenario) -> None:
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.is_held = True


def _find_attempt(scenario: FaultScenario) -> Attempt:
    attempts = scenario.world.sidecars[scenario.endpoint].attempts
    return next(a for a in attempts if a.request_id == scenario.caller.request_id)


def _gateway_killed(scenario: FaultScenario) -> None:
    scenario.world.kill(scenario.world.gateways[FIRST_GATEWAY])
    scenario.release_held()
    scenario.world.advance(0.2)
    scenario.retry()


def _gateways_killed(scenario: FaultScenario) -> None:
    _gateway_killed(scenario)
    scenario.world.advance(0.1, emit=True)
    scenario.world.kill(scenario.world.gateways[SECOND_GATEWAY])
    scenario.world.advance(0.2)
    if scenario.retries:
        scenario.caller = scenario.retries[-1]
    scenario.retry(THIRD_GATEWAY)


def _gateway_killed_platform_down(scenario: FaultScenario) -> None:
    scenario.world.table.is_down = True
    _gateway_killed(scenario)
    scenario.world.settle(10)
    scenario.world.table.is_down = False


def _sidecar_frozen_domain_out(scenario: FaultScenario) -> None:
    scenario.world.sidecars[scenario.endpoint].is_frozen = True
    _domain_out(scenario)
    scenario.world.sidecars[scenario.endpoint].is_frozen = False


def _half_open_endpoint_killed(scenario: FaultScenario) -> None:
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.drops_frames = True
    _endpoint_killed(scenario)


def _sidecar_killed(scenario: FaultScenario) -> None:
    scenario.world.kill(scenario.world.sidecars[scenario.endpoint])
    scenario.release_held()
    scenario.world.settle(1)
    scenario.world.start_sidecar(scenario.endpoint)


def _endpoint_killed(scenario: FaultScenario) -> None:
    scenario.world.endpoints[scenario.endpoint].kill()
    scenario.release_held()
    scenario.world.settle(CALLER_TIMEOUT_S)
    scenario.world.endpoints[scenario.endpoint].is_up = True


def _freeze_gateway(scenario: FaultScenario, seconds: float) -> None:
    gateway = scenario.world.gateways[FIRST_GATEWAY]
    gateway.is_frozen = True
    scenario.release_held()
    scenario.world.settle(min(seconds, CALLER_TIMEOUT_S))
    if seconds > CALLER_TIMEOUT_S:
        scenario.retry()
        scenario.world.advance(seconds - CALLER_TIMEOUT_S)
    gateway.is_frozen = False
    scenario.world.advance(1)


def _freeze_gateway_past_retention(scenario: FaultScenario) -> None:
    _hold_links(scenario)
    gateway = scenario.world.gateways[FIRST_GATEWAY]
    gateway.is_frozen = True
    scenario.world.settle(RETENTION_S + LONG_FAULT_S)
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.close()
    scenario.release_held()
    gateway.is_frozen = False


def _freeze_sidecar(scenario: FaultScenario, seconds: float) -> None:
    sidecar = scenario.world.sidecars[scenario.endpoint]
    sidecar.is_frozen = True
    scenario.release_held()
    scenario.world.settle(seconds)
    sidecar.is_frozen = False


def _replace_frozen_sidecar(scenario: FaultScenario) -> None:
    frozen_sidecar = scenario.world.sidecars[scenario.endpoint]
    frozen_sidecar.is_frozen = True
    scenario.release_held()
    scenario.world.settle(CALLER_TIMEOUT_S)
    scenario.world.start_sidecar(scenario.endpoint)
    scenario.world.settle(1)
    frozen_sidecar.is_frozen = False


def _connection_closed(scenario: FaultScenario) -> None:
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.close()
    scenario.release_held()
    scenario.world.advance(0.5)
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.deliver_late()


def _connection_half_open(scenario: FaultScenario) -> None:
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.drops_frames = True
    scenario.release_held()
    scenario.world.settle(SHORT_FAULT_S)


def _connection_delayed(scenario: FaultScenario) -> None:
    _hold_links(scenario)
    scenario.world.settle(2)


def _network_partitioned(scenario: FaultScenario) -> None:
    scenario.world.is_partitioned = True
    for link in scenario.world.links_of(FIRST_GATEWAY):
        link.close()
    scenario.release_held()
    scenario.world.settle(LONG_FAULT_S)
    scenario.world.is_partitioned = False


def _platform_down(scenario: FaultScenario) -> None:
    scenario.world.table.is_down = True
    scenario.release_held()
    if scenario.caller.request_id == UNSENT:
        scenario.caller = scenario.send()
    scenario.world.settle(10)
    scenario.world.table.is_down = False


def _platform_slow(scenario: FaultScenario) -> None:
    scenario.world.gateways[FIRST_GATEWAY].claims.is_slow = True
    scenario.release_held()
    if scenario.caller.request_id == UNSENT:
        scenario.caller = scenario.send()
    scenario.world.settle(10)
    scenario.world.gateways[FIRST_GATEWAY].claims.is_slow = False


def _replies_lost(scenario: FaultScenario) -> None:
    scenario.world.table.n_replies_to_lose = 2


def _domain_out(scenario: FaultScenario) -> None:
    domain = scenario.endpoint.split("-")[1]
    scenario.world.set_domain(domain, in_service=False)
    scenario.world.run_until_idle()
    scenario.release_held()
    scenario.world.advance(SHORT_FAULT_S)
    scenario.world.settle(10)
    scenario.world.set_domain(domain, in_service=True)


def _gateway_stopped(scenario: FaultScenario) -> None:
    scenario.caller.must_complete = scenario.caller.request_id != UNSENT
    scenario.world.gateways[FIRST_GATEWAY].put(StopRequested())
    scenario.world.run_until_idle()
    scenario.release_held()
    scenario.world.settle(CALLER_TIMEOUT_S)


def _sidecar_stopped(scenario: FaultScenario) -> None:
    scenario.caller.must_complete = True
    scenario.world.sidecars[scenario.endpoint].put(StopRequested())
    scenario.world.run_until_idle()
    scenario.release_held()
    scenario.world.settle(LONG_FAULT_S)
    scenario.world.start_sidecar(scenario.endpoint)


def _caller_disconnected(scenario: FaultScenario) -> None:
    if scenario.caller.request_id == UNSENT:
        return
    scenario.world.disconnect_caller(scenario.caller)
    scenario.release_held()
    scenario.world.settle(LONG_FAULT_S)
    scenario.retries.append(scenario.send(SECOND_GATEWAY, "retry"))


def _caller_reconnected(scenario: FaultScenario) -> None:
    if not scenario.caller.tokens:
        return
    previous_calls = [
        call_id
        for call_id, caller in scenario.world.gateways[
            FIRST_GATEWAY
        ].callers_by_call_id.items()
        if caller is scenario.caller
    ]
    scenario.world.reconnect(scenario.caller, FIRST_GATEWAY)
    scenario.world.run_until_idle()
    for call_id in previous_calls:
        scenario.world.gateways[FIRST_GATEWAY].callers_by_call_id.pop(call_id, None)
        scenario.world.gateways[FIRST_GATEWAY].put(CallerGone(call_id))
    scenario.release_held()


_FAULTS: dict[str, Callable[[FaultScenario], None]] = {
    "gateway killed": _gateway_killed,
    "two gateways killed": _gateways_killed,
    "gateway killed, platform down": _gateway_killed_platform_down,
    "sidecar killed": _sidecar_killed,
    "endpoint killed": _endpoint_killed,
    "gateway frozen for 4 s": lambda scenario: _freeze_gateway(scenario, SHORT_FAULT_S),
    "gateway frozen for 20 s": lambda scenario: _freeze_gateway(scenario, LONG_FAULT_S),
    "gateway frozen past retention": _freeze_gateway_past_retention,
    "sidecar frozen for 4 s": lambda scenario: _freeze_sidecar(scenario, SHORT_FAULT_S),
    "sidecar frozen for 20 s": lambda scenario: _freeze_sidecar(scenario, LONG_FAULT_S),
    "sidecar frozen, domain out": _sidecar_frozen_domain_out,
    "frozen sidecar replaced": _replace_frozen_sidecar,
    "connection cut": _connection_closed,
    "connection silent": _connection_half_open,
    "silent, endpoint killed": _half_open_endpoint_killed,
    "connection delayed": _connection_delayed,
    "network parted for 20 s": _network_partitioned,
    "platform down": _platform_down,
    "platform slow": _platform_slow,
    "reply of the platform lost": _replies_lost,
    "failure domain out": _domain_out,
    "gateway stopped": _gateway_stopped,
    "sidecar stopped": _sidecar_stopped,
    "caller gone": _caller_disconnected,
    "caller back at the same gateway": _caller_reconnected,
}
