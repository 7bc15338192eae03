"""Apply any order of calls, faults and recoveries to a world."""

from collections.abc import Callable, Sequence
from typing import TypeVar

from features.support.history import Caller
from features.support.nodes import Node
from features.support.world import DOMAINS, Link, World

T = TypeVar("T")

N_KEYS = 2


class Chaos:
    """A world, and the faults that hold in it.

    Attributes:
        world: The deployment.
        n_sent: Requests that were sent.
        out: Failure domains that are out.
    """

    __slots__ = ("n_sent", "out", "world")

    def __init__(self) -> None:
        self.world = World(n_gateways=3)
        self.n_sent = 0
        self.out: set[str] = set()

    def apply(self, event: str, index: int) -> None:
        """Let one event happen; `index` picks what it happens to."""
        EVENTS[event](self, index)
        self.world.run()

    def recover(self) -> None:
        """End all faults and let everything come to its end."""
        world = self.world
        world.table.is_down = False
        world.table.n_lost = 0
        for node in world.nodes():
            node.is_frozen = False
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

    def living_gateway(self, index: int) -> str:
        """Return the name of a gateway that callers can reach."""
        gateways = self.world.gateways
        names = [name for name in sorted(gateways) if gateways[name].is_alive]
        if not names:
            names = [self.world.add_gateway(f"gateway-{self.n_sent + 10}").name]
        return names[index % len(names)]


def _generate(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    chaos.world.generate(chaos.living_gateway(index), f"draft-{chaos.n_sent}")


def _record(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    key = f"key-{index % N_KEYS}"
    gateway = chaos.living_gateway(index)
    chaos.world.record(gateway, f"badge-{chaos.n_sent}", key=key)


def _record_without_key(chaos: Chaos, index: int) -> None:
    chaos.n_sent += 1
    chaos.world.record(chaos.living_gateway(index), f"badge-{chaos.n_sent}")


def _work(chaos: Chaos, index: int) -> None:
    chaos.world.settle(0.1 * (1 + index))


def _wait(chaos: Chaos, index: int) -> None:
    chaos.world.advance(0.5 * (1 + index))


def _cut(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).close()


def _silence(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).is_silent = True


def _deliver_late(chaos: Chaos, index: int) -> None:
    _pick_link(chaos, index).deliver_late()


def _hold(chaos: Chaos, index: int) -> None:
    link = _pick_link(chaos, index)
    link.is_held = not link.is_held


def _freeze(chaos: Chaos, index: int) -> None:
    node = _pick_node(chaos, index)
    node.is_frozen = not node.is_frozen


def _kill_gateway(chaos: Chaos, index: int) -> None:
    world = chaos.world
    gateway = world.gateways[chaos.living_gateway(index)]
    callers = list(gateway.calls.values())
    world.kill(gateway)
    for caller in callers:
        if caller.tokens:
            world.reconnect(caller, chaos.living_gateway(index))


def _kill_sidecar(chaos: Chaos, index: int) -> None:
    name = sorted(chaos.world.sidecars)[index % len(chaos.world.sidecars)]
    chaos.world.kill(chaos.world.sidecars[name])
    chaos.world.start_sidecar(name)


def _kill_endpoint(chaos: Chaos, index: int) -> None:
    name = sorted(chaos.world.endpoints)[index % len(chaos.world.endpoints)]
    endpoint = chaos.world.endpoints[name]
    if endpoint.is_up:
        endpoint.kill()
    else:
        endpoint.is_up = True


def _platform(chaos: Chaos, index: int) -> None:
    chaos.world.table.is_down = not chaos.world.table.is_down


def _lose_reply(chaos: Chaos, index: int) -> None:
    chaos.world.table.n_lost = index


def _slow_claims(chaos: Chaos, index: int) -> None:
    claims = chaos.world.gateways[chaos.living_gateway(index)].claims
    claims.is_slow = not claims.is_slow


def _domain(chaos: Chaos, index: int) -> None:
    domain = DOMAINS[index % len(DOMAINS)]
    chaos.out ^= {domain}
    chaos.world.set_domain(domain, in_service=domain not in chaos.out)


def _leave(chaos: Chaos, index: int) -> None:
    caller = _pick_caller(chaos, index)
    if caller is not None:
        chaos.world.leave(caller)


def _come_back(chaos: Chaos, index: int) -> None:
    caller = _pick_caller(chaos, index)
    if caller is not None and caller.tokens:
        chaos.world.leave(caller)
        chaos.world.reconnect(caller, chaos.living_gateway(index))


EVENTS: dict[str, Callable[[Chaos, int], None]] = {
    "generate": _generate,
    "record": _record,
    "record without key": _record_without_key,
    "work": _work,
    "wait": _wait,
    "cut": _cut,
    "silence": _silence,
    "deliver late": _deliver_late,
    "hold": _hold,
    "freeze": _freeze,
    "kill gateway": _kill_gateway,
    "kill sidecar": _kill_sidecar,
    "kill endpoint": _kill_endpoint,
    "platform": _platform,
    "lose reply": _lose_reply,
    "slow claims": _slow_claims,
    "domain": _domain,
    "leave": _leave,
    "come back": _come_back,
}
"""What can happen, by name."""


def _pick_link(chaos: Chaos, index: int) -> Link:
    links = [link for link in chaos.world.links.values() if link.gateway.is_alive]
    return _pick(links or list(chaos.world.links.values()), index)


def _pick_node(chaos: Chaos, index: int) -> Node:
    return _pick(list(chaos.world.nodes()), index)


def _pick_caller(chaos: Chaos, index: int) -> Caller | None:
    waiting = [item for item in chaos.world.history.callers if not item.is_answered]
    return _pick(waiting, index) if waiting else None


def _pick(items: Sequence[T], index: int) -> T:
    return items[index % len(items)]
