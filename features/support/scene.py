"""Bring a request to an exact step and let a fault strike there."""

from collections.abc import Callable

from features.support.history import Caller
from features.support.world import World
from hawthornyard.core import StopRequested
from hawthornyard.gateway.messages import CallerGone
from hawthornyard.sidecar.messages import Attempt
from hawthornyard.sidecar.reply.attach import RETENTION_S

FIRST = "gateway-1"
SECOND = "gateway-2"
THIRD = "gateway-3"
UNSENT = "unsent"
PATIENCE_S = 5.0
SHORT_S = 4.0
LONG_S = 20.0
HIGHEST_PRIORITY = 9


class Scene:
    """One request, the work that it asks for and the world around it.

    Attributes:
        world: The deployment.
        kind: "generation" or "badge issue".
        caller: Who sent the request.
        retries: Callers that sent it again after their gateway was lost.
    """

    __slots__ = ("caller", "kind", "retries", "world")

    def __init__(self, kind: str, *, seed: int = 1) -> None:
        self.kind = kind
        self.world = World(seed=seed, n_gateways=3)
        self.caller = Caller(UNSENT)
        self.retries: list[Caller] = []

    @property
    def endpoint(self) -> str:
        """Return the endpoint that the request was sent to, or the first."""
        return self.caller.endpoint or self.fitting[0]

    @property
    def fitting(self) -> list[str]:
        """Return the endpoints that can run the request."""
        kind = "engine" if self.kind == "generation" else "service"
        return [name for name in self.world.endpoints if name.startswith(kind)]

    def send(self, gateway: str = FIRST, request_id: str = "request") -> Caller:
        """Send the request."""
        if self.kind == "generation":
            return self.world.generate(gateway, request_id)
        return self.world.record(gateway, request_id, key="key")

    def retry(self, gateway: str = SECOND) -> None:
        """Do what a caller does that lost its gateway or its patience."""
        if self.caller.request_id == UNSENT or self.caller.is_whole:
            return
        if self.caller.failure:
            return
        if self.caller.tokens:
            self.world.leave(self.caller)
            self.world.reconnect(self.caller, gateway)
            return
        self.world.leave(self.caller)
        self.retries.append(self.send(gateway, f"retry-{len(self.retries)}"))

    def drive(self, step: str) -> None:
        """Bring the request to a step."""
        _STEPS[step](self)

    def strike(self, fault: str) -> None:
        """Let a fault strike and pass."""
        _FAULTS[fault](self)

    def finish(self) -> None:
        """Release what was held and let everything come to its end."""
        self.release()
        if self.caller.request_id == UNSENT:
            gateways = self.world.gateways.values()
            self.caller = self.send(next(g.name for g in gateways if g.is_alive))
        self.world.settle_all()

    def release(self) -> None:
        """Let everything go on that a step held."""
        for link in self.world.links.values():
            link.is_held = False
        for endpoint in self.world.endpoints.values():
            endpoint.is_held = False
        for gateway in self.world.gateways.values():
            gateway.claims.is_held = False


def _before_decode(scene: Scene) -> None:
    return


def _claim_written(scene: Scene) -> None:
    scene.world.gateways[FIRST].claims.is_held = True
    _send(scene)
    assert scene.world.gateways[FIRST].claims.answered


def _before_dispatch(scene: Scene) -> None:
    while _has_room(scene):
        _occupy(scene, SECOND)
        scene.world.advance(1.2)
    _send(scene)
    assert not scene.caller.endpoint


def _has_room(scene: Scene) -> bool:
    views = scene.world.gateways[FIRST].fleet.views()
    return any(
        view.n_free(HIGHEST_PRIORITY)
        for view in views
        if view.endpoint in scene.fitting
    )


def _dispatched(scene: Scene) -> None:
    _hold_links(scene)
    _send(scene)
    assert scene.caller.endpoint


def _queued(scene: Scene) -> None:
    for _ in scene.fitting:
        _occupy(scene, SECOND)
    _send(scene)
    assert _attempt(scene).started_at is None


def _not_begun(scene: Scene) -> None:
    for endpoint in scene.world.endpoints.values():
        endpoint.is_held = True
    _send(scene)
    assert _attempt(scene).started_at is not None
    assert not scene.world.history.runs


def _running(scene: Scene) -> None:
    _send(scene)
    assert scene.world.history.runs


def _first_token(scene: Scene) -> None:
    _emit(scene, 1)


def _mid_stream(scene: Scene) -> None:
    _emit(scene, 4)


def _last_token(scene: Scene) -> None:
    _emit(scene, 8)


def _ended(scene: Scene) -> None:
    if scene.kind == "generation":
        _emit(scene, 8)
    else:
        _running(scene)
    _hold_links(scene)
    scene.world.endpoints[scene.endpoint].emit()
    scene.world.run()
    assert _attempt(scene).final_frame is not None


_STEPS: dict[str, Callable[[Scene], None]] = {
    "before decode": _before_decode,
    "after the claim is written": _claim_written,
    "before dispatch": _before_dispatch,
    "dispatched and not received": _dispatched,
    "received and not admitted": _queued,
    "admitted and not begun": _not_begun,
    "begun": _running,
    "first token": _first_token,
    "mid-stream": _mid_stream,
    "last token before the end": _last_token,
    "ended and not acknowledged": _ended,
}


def _send(scene: Scene) -> None:
    scene.caller = scene.send()
    scene.world.run()


def _occupy(scene: Scene, gateway: str) -> None:
    name = f"occupier-{len(scene.world.history.callers)}"
    if scene.kind == "generation":
        scene.world.generate(gateway, name)
    else:
        scene.world.record(gateway, name)
    scene.world.run()


def _emit(scene: Scene, n_tokens: int) -> None:
    _send(scene)
    for _ in range(n_tokens):
        scene.world.endpoints[scene.endpoint].emit()
        scene.world.run()
    assert len(scene.caller.tokens) == n_tokens


def _hold_links(scene: Scene) -> None:
    for link in scene.world.links_of(FIRST):
        link.is_held = True


def _attempt(scene: Scene) -> Attempt:
    attempts = scene.world.sidecars[scene.endpoint].attempts
    return next(a for a in attempts if a.request_id == scene.caller.request_id)


def _gateway_killed(scene: Scene) -> None:
    scene.world.kill(scene.world.gateways[FIRST])
    scene.release()
    scene.world.advance(0.2)
    scene.retry()


def _gateways_killed(scene: Scene) -> None:
    _gateway_killed(scene)
    scene.world.advance(0.1, emit=True)
    scene.world.kill(scene.world.gateways[SECOND])
    scene.world.advance(0.2)
    if scene.retries:
        scene.caller = scene.retries[-1]
    scene.retry(THIRD)


def _gateway_killed_platform_down(scene: Scene) -> None:
    scene.world.table.is_down = True
    _gateway_killed(scene)
    scene.world.settle(10)
    scene.world.table.is_down = False


def _sidecar_frozen_domain_out(scene: Scene) -> None:
    scene.world.sidecars[scene.endpoint].is_frozen = True
    _domain_out(scene)
    scene.world.sidecars[scene.endpoint].is_frozen = False


def _silent_endpoint_killed(scene: Scene) -> None:
    for link in scene.world.links_of(FIRST):
        link.is_silent = True
    _endpoint_killed(scene)


def _sidecar_killed(scene: Scene) -> None:
    scene.world.kill(scene.world.sidecars[scene.endpoint])
    scene.release()
    scene.world.settle(1)
    scene.world.start_sidecar(scene.endpoint)


def _endpoint_killed(scene: Scene) -> None:
    scene.world.endpoints[scene.endpoint].kill()
    scene.release()
    scene.world.settle(PATIENCE_S)
    scene.world.endpoints[scene.endpoint].is_up = True


def _freeze_gateway(scene: Scene, seconds: float) -> None:
    gateway = scene.world.gateways[FIRST]
    gateway.is_frozen = True
    scene.release()
    scene.world.settle(min(seconds, PATIENCE_S))
    if seconds > PATIENCE_S:
        scene.retry()
        scene.world.advance(seconds - PATIENCE_S)
    gateway.is_frozen = False
    scene.world.advance(1)


def _freeze_past_retention(scene: Scene) -> None:
    _hold_links(scene)
    gateway = scene.world.gateways[FIRST]
    gateway.is_frozen = True
    scene.world.settle(RETENTION_S + LONG_S)
    for link in scene.world.links_of(FIRST):
        link.close()
    scene.release()
    gateway.is_frozen = False


def _freeze_sidecar(scene: Scene, seconds: float) -> None:
    sidecar = scene.world.sidecars[scene.endpoint]
    sidecar.is_frozen = True
    scene.release()
    scene.world.settle(seconds)
    sidecar.is_frozen = False


def _replace_frozen_sidecar(scene: Scene) -> None:
    old = scene.world.sidecars[scene.endpoint]
    old.is_frozen = True
    scene.release()
    scene.world.settle(PATIENCE_S)
    scene.world.start_sidecar(scene.endpoint)
    scene.world.settle(1)
    old.is_frozen = False


def _connection_cut(scene: Scene) -> None:
    for link in scene.world.links_of(FIRST):
        link.close()
    scene.release()
    scene.world.advance(0.5)
    for link in scene.world.links_of(FIRST):
        link.deliver_late()


def _connection_silent(scene: Scene) -> None:
    for link in scene.world.links_of(FIRST):
        link.is_silent = True
    scene.release()
    scene.world.settle(SHORT_S)


def _connection_delayed(scene: Scene) -> None:
    _hold_links(scene)
    scene.world.settle(2)


def _network_parted(scene: Scene) -> None:
    scene.world.is_cut = True
    for link in scene.world.links_of(FIRST):
        link.close()
    scene.release()
    scene.world.settle(LONG_S)
    scene.world.is_cut = False


def _platform_down(scene: Scene) -> None:
    scene.world.table.is_down = True
    scene.release()
    if scene.caller.request_id == UNSENT:
        scene.caller = scene.send()
    scene.world.settle(10)
    scene.world.table.is_down = False


def _platform_slow(scene: Scene) -> None:
    scene.world.gateways[FIRST].claims.is_slow = True
    scene.release()
    if scene.caller.request_id == UNSENT:
        scene.caller = scene.send()
    scene.world.settle(10)
    scene.world.gateways[FIRST].claims.is_slow = False


def _reply_lost(scene: Scene) -> None:
    scene.world.table.n_lost = 2


def _domain_out(scene: Scene) -> None:
    domain = scene.endpoint.split("-")[1]
    scene.world.set_domain(domain, in_service=False)
    scene.world.run()
    scene.release()
    scene.world.advance(SHORT_S)
    scene.world.settle(10)
    scene.world.set_domain(domain, in_service=True)


def _gateway_stopped(scene: Scene) -> None:
    scene.caller.must_be_whole = scene.caller.request_id != UNSENT
    scene.world.gateways[FIRST].put(StopRequested())
    scene.world.run()
    scene.release()
    scene.world.settle(PATIENCE_S)


def _sidecar_stopped(scene: Scene) -> None:
    scene.caller.must_be_whole = True
    scene.world.sidecars[scene.endpoint].put(StopRequested())
    scene.world.run()
    scene.release()
    scene.world.settle(LONG_S)
    scene.world.start_sidecar(scene.endpoint)


def _caller_left(scene: Scene) -> None:
    if scene.caller.request_id == UNSENT:
        return
    scene.world.leave(scene.caller)
    scene.release()
    scene.world.settle(LONG_S)
    scene.retries.append(scene.send(SECOND, "retry"))


def _caller_back(scene: Scene) -> None:
    if not scene.caller.tokens:
        return
    former = [
        call_id
        for call_id, caller in scene.world.gateways[FIRST].calls.items()
        if caller is scene.caller
    ]
    scene.world.reconnect(scene.caller, FIRST)
    scene.world.run()
    for call_id in former:
        scene.world.gateways[FIRST].calls.pop(call_id, None)
        scene.world.gateways[FIRST].put(CallerGone(call_id))
    scene.release()


_FAULTS: dict[str, Callable[[Scene], None]] = {
    "gateway killed": _gateway_killed,
    "two gateways killed": _gateways_killed,
    "gateway killed, platform down": _gateway_killed_platform_down,
    "sidecar killed": _sidecar_killed,
    "endpoint killed": _endpoint_killed,
    "gateway frozen for 4 s": lambda scene: _freeze_gateway(scene, SHORT_S),
    "gateway frozen for 20 s": lambda scene: _freeze_gateway(scene, LONG_S),
    "gateway frozen past retention": _freeze_past_retention,
    "sidecar frozen for 4 s": lambda scene: _freeze_sidecar(scene, SHORT_S),
    "sidecar frozen for 20 s": lambda scene: _freeze_sidecar(scene, LONG_S),
    "sidecar frozen, domain out": _sidecar_frozen_domain_out,
    "frozen sidecar replaced": _replace_frozen_sidecar,
    "connection cut": _connection_cut,
    "connection silent": _connection_silent,
    "silent, endpoint killed": _silent_endpoint_killed,
    "connection delayed": _connection_delayed,
    "network parted for 20 s": _network_parted,
    "platform down": _platform_down,
    "platform slow": _platform_slow,
    "reply of the platform lost": _reply_lost,
    "failure domain out": _domain_out,
    "gateway stopped": _gateway_stopped,
    "sidecar stopped": _sidecar_stopped,
    "caller gone": _caller_left,
    "caller back at the same gateway": _caller_back,
}
