"""Apply calls, faults and recoveries to a simulated deployment in any order."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from features.support.history import Caller
from features.support.simulation import SimulatedProcess
from features.support.world import DOMAINS, Link, World

T = TypeVar("T")

N_KEYS = 2


class Chaos:
    """A simulated deployment and the state of its fault injection.

    Attributes:
        world: The simulated deployment.
        n_sent: Number of requests sent.
        domains_out: Failure domains that are out of service.
    """

    __slots__ = ("domains_out", "n_sent", "world")

    def __init__(self) -> None:
        self.world = World(n_gateways=3)
        self.n_sent = 0
        self.domains_out: set[str] = set()

    def apply(self, event: str, index: int) -> None:
        """Apply one event; `index` selects its target or its size."""
        EVENTS[event](self, index)
        self.world.run_until_idle()

    def recover(self) -> None:
        """Lift outages, freezes and holds, then run until all callers are answered."""
        world = self.world
        world.table.is_down = False
        world.table.n_replies_to_lose = 0
        for process in world.processes():
            process.is_frozen = False
        for name, endpoint in world.endpoints.items():
            endpoint.is_up = True
            endpoint.is_held = False
            if not world.sidecars[name].is_alive:
                world.start_sidecar(name)
        for link in world.links.values():
            link.is_held = False
        for gateway in world.gateways.values():
            gateway.claims.is_slow = False
            gateway.claims.is_held = False
        world.settle_all()

    def pick_live_gateway(self, index: int) -> str:
        """Return the name of a live gateway, starting one if none is left."""
        gateways = self.world.gateways
        names = [name for name in sorted(gateways) if gateways[name].is_alive]
        if not names:
            names = [self.world.add_gateway(f"gateway-{self.n_sent + 10}").name]
        return names[index % len(names)]


def _generate(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    chaos.world.generate(chaos.pick_live_gateway(index), f"draft-{chaos.n_sent}")


def _issue_badge(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    key = f"key-{index % N_KEYS}"
    gateway = chaos.pick_live_gateway(index)
    chaos.world.issue_badge(gateway, f"badge-{chaos.n_sent}", key=key)


def _issue_badge_without_key(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    chaos.world.issue_badge(chaos.pick_live_gateway(index), f"badge-{chaos.n_sent}")


def _run_endpoints(chaos: Chaos, index: int) -> None:
    chaos.world.settle(0.1 * (1 + index))


def _advance_time(chaos: Chaos, index: int) -> None:
    chaos.world.advance(0.5 * (1 + index))


def _close_link(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).close()


def _drop_link_frames(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).drops_frames = True


def _deliver_late(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).deliver_late()


def _toggle_link_hold(chaos: Chaos, index: int) -> None:
    link = _pick_link(chaos, index)
    link.is_held = not link.is_held


def _toggle_freeze(chaos: Chaos, index: int) -> None:
    process = _pick_process(chaos, index)
    process.is_frozen = not process.is_frozen


def _kill_gateway(chaos: Chaos, index: int) -> None:
    world = chaos.world
    gateway = world.gateways[chaos.pick_live_gateway(index)]
    callers = list(gateway.callers_by_call_id.values())
    world.kill(gateway)
    for caller in callers:
        if caller.tokens:
            world.reconnect(caller, chaos.pick_live_gateway(index))


def _kill_sidecar(chaos: Chaos, index: int) -> None:
    name = sorted(chaos.world.sidecars)[index % len(chaos.world.sidecars)]
    chaos.world.kill(chaos.world.sidecars[name])
    chaos.world.start_sidecar(name)


def _toggle_endpoint(chaos: Chaos, index: int) -> None:
    name = sorted(chaos.world.endpoints)[index % len(chaos.world.endpoints)]
    endpoint = chaos.world.endpoints[name]
    if endpoint.is_up:
        endpoint.kill()
    else:
        endpoint.is_up = True


def _toggle_platform(chaos: Chaos, index: int) -> None:
    chaos.world.table.is_down = not chaos.world.table.is_down


def _lose_replies(chaos: Chaos, index: int) -> None:
    chaos.world.table.n_replies_to_lose = index


def _toggle_slow_claims(chaos: Chaos, index: int) -> None:
    claims = chaos.world.gateways[chaos.pick_live_gateway(index)].claims
    claims.is_slow = not claims.is_slow


def _toggle_domain(chaos: Chaos, index: int) -> None:
    domain = DOMAINS[index % len(DOMAINS)]
    chaos.domains_out ^= {domain}
    chaos.world.set_domain(domain, in_service=domain not in chaos.domains_out)


def _disconnect_caller(chaos: Chaos, index: int) -> None:
    caller = _pick_caller(chaos, index)
    if caller is not None:
        chaos.world.disconnect_caller(caller)


def _reconnect_caller(chaos: Chaos, index: int) -> None:
    caller = _pick_caller(chaos, index)
    if caller is not None and caller.tokens:
        chaos.world.disconnect_caller(caller)
        chaos.world.reconnect(caller, chaos.pick_live_gateway(index))


EVENTS: dict[str, Callable[[Chaos, int], None]] = {
    "generate": _generate,
    "record": _issue_badge,
    "record without key": _issue_badge_without_key,
    "work": _run_endpoints,
    "wait": _advance_time,
    "cut": _close_link,
    "silence": _drop_link_frames,
    "deliver late": _deliver_late,
    "hold": _toggle_link_hold,
    "freeze": _toggle_freeze,
    "kill gateway": _kill_gateway,
    "kill sidecar": _kill_sidecar,
    "kill endpoint": _toggle_endpoint,
    "platform": _toggle_platform,
    "lose reply": _lose_replies,
    "slow claims": _toggle_slow_claims,
    "domain": _toggle_domain,
    "leave": _disconnect_caller,
    "come back": _reconnect_caller,
}
"""Events by name.

Hypothesis samples from the sorted names, so a rename changes the generated orders.
"""


def _pick_link(chaos: Chaos, index: int) -> Link:
    links = [link for link in chaos.world.links.values() if link.gateway.is_alive]
    return _pick(links or list(chaos.world.links.values()), index)


def _pick_process(chaos: Chaos, index: int) -> SimulatedProcess:
    return _pick(list(chaos.world.processes()), index)


def _pick_caller(chaos: Chaos, index: int) -> Caller | None:
    waiting = [item for item in chaos.world.history.callers if not item.is_answered]
    return _pick(waiting, index) if waiting else None


def _pick(items: Sequence[T], index: int) -> T:
    return items[index % len(items)]
