"""Do harm to parts of the world from outside."""

import random
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import eventlet

from .deployment import DOMAINS, GRACE_S, KEYS, REVOKE_S, REVOKED_KEY
from .gateway import Gateway
from .relay import Relay
from .touch import PLANNED, STORE
from .world import World

RESTART_S = 0.3
"""Time until the platform starts a process that has ended."""
LAPSE_S = 3.0
"""Time until the entry of an endpoint that says nothing is removed."""
WARM_UP_S = 1.5
"""Time that a process takes to start and read what it needs."""


class Fault(Protocol):
    """One kind of harm."""

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm and end it; takes as long as the harm lasts."""
        ...


class KillGateway:
    """Kill a gateway; it is started again."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        gateway = chance.choice(world.gateways)
        if gateway.is_busy:
            return
        gateway.is_busy = True
        begun = time.monotonic()
        gateway.process.kill()
        eventlet.sleep(RESTART_S)
        _restart(world, gateway, "killed", begun)


class StopGateway:
    """Stop a gateway with notice; it is started again."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        gateway = chance.choice(world.gateways)
        if gateway.is_busy:
            return
        gateway.is_busy = True
        begun = time.monotonic()
        gateway.process.signal(signal.SIGTERM)
        if not gateway.process.wait(GRACE_S):
            gateway.process.kill()
        eventlet.sleep(RESTART_S)
        _restart(world, gateway, PLANNED, begun)


class PauseGateway:
    """Freeze a gateway for a while."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        gateway = chance.choice(world.gateways)
        gateway.process.signal(signal.SIGSTOP)
        pause_s = chance.choice([0.3, 1.0, 3.0, 6.0])
        with _harming(world, gateway.name, "paused", pause_s):
            gateway.process.signal(signal.SIGCONT)


class ReloadGateway:
    """Change the settings file of a gateway."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        chance.choice(world.gateways).reload()


class HarmStoreLink:
    """Harm the link of a gateway to the store."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        gateway = chance.choice(world.gateways)
        how = _harm(gateway.link, chance)
        with _harming(world, gateway.name, f"link {how}", chance.uniform(0.5, 7.0)):
            gateway.link.heal()


class HarmStore:
    """Take the store down, make it slow, or let it forget its history."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        how = chance.choice(["down", "slow", "forgetful", "silent"])
        if how == "forgetful":
            world.store.forget_history()
        elif how == "down":
            world.store.is_down = True
        elif how == "slow":
            world.store.delay_s = 0.3
        else:
            for gateway in world.gateways:
                gateway.link.is_cut = gateway.link.is_cut_back = True
        with _harming(world, STORE, how, chance.uniform(0.5, 7.0)):
            world.store.is_down = False
            world.store.delay_s = 0.0
            for gateway in world.gateways:
                gateway.link.heal()


class LeaveEndpoint:
    """Let an endpoint announce that it leaves, and another come."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        service = chance.choice(["scribe", "scribe", "desk"])
        endpoint = world.pick_endpoint(chance, service)
        if endpoint is None:
            return
        notice_s = chance.choice([1.5, 2.0, 5.0])
        world.store.put("servers", endpoint.name, endpoint.entry(state="draining"))
        world.leaving[endpoint.name] = time.monotonic()
        endpoint.behave(leaves_ms=notice_s * 1000)
        coming = eventlet.spawn(world.add_endpoint, service, endpoint.domain)
        eventlet.sleep(notice_s)
        world.remove_endpoint(endpoint)
        coming.wait()


class KillEndpoint:
    """Kill an endpoint; it comes back under its name or under another."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        service = chance.choice(["scribe", "desk"])
        endpoint = world.pick_endpoint(chance, service)
        if endpoint is None:
            return
        endpoint.process.kill()
        if chance.random() < 0.5:
            eventlet.sleep(RESTART_S)
            world.add_endpoint(service, endpoint.domain, name=endpoint.name)
            return
        eventlet.sleep(LAPSE_S)
        world.remove_endpoint(endpoint)
        world.add_endpoint(service, endpoint.domain)


class PauseEndpoint:
    """Freeze an endpoint for a while."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        endpoint = world.pick_endpoint(chance, chance.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        endpoint.process.signal(signal.SIGSTOP)
        with _harming(world, endpoint.name, "paused", chance.uniform(0.3, 3.0)):
            endpoint.process.signal(signal.SIGCONT)


class SpoilEndpoint:
    """Let an endpoint fail, refuse, hang or break off for a while."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        endpoint = world.pick_endpoint(chance, chance.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        mode = chance.choice(["failing", "full", "hanging", "mute"])
        endpoint.behave(mode=mode)
        with _harming(world, endpoint.name, mode, chance.uniform(0.5, 4.0)):
            endpoint.behave(mode="sound")


class HarmEndpointLink:
    """Harm the link to an endpoint."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        endpoint = world.pick_endpoint(chance, chance.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        how = _harm(endpoint.link, chance)
        with _harming(world, endpoint.name, f"link {how}", chance.uniform(0.5, 4.0)):
            endpoint.link.heal()


class ChangeDeployment:
    """Take a key or a route away, and bring it back later."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        before = world.versions[-1]
        if chance.random() < 0.5:
            world.configure(set(KEYS) - {REVOKED_KEY}, before.removed)
        else:
            world.configure(before.keys, {"lookup"})
        eventlet.sleep(chance.uniform(0.1, 8.0))
        world.configure(set(KEYS), set())


class RevokeUnseen:
    """Take a key away while a gateway can't hear of it."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        gateway = chance.choice(world.gateways)
        gateway.link.is_cut = gateway.link.is_cut_back = True
        with _harming(world, gateway.name, "link cut", chance.uniform(0.1, 1.0)):
            world.configure(set(KEYS) - {REVOKED_KEY}, world.versions[-1].removed)
            eventlet.sleep(REVOKE_S + chance.uniform(1.0, 3.0))
            world.configure(set(KEYS), set())
            gateway.link.heal()


class TakeDomainOut:
    """Take a failure domain out for a while."""

    __slots__ = ()

    def run(self, world: World, chance: random.Random) -> None:
        """Do the harm; see `Fault.run`."""
        domain = chance.choice(DOMAINS)
        if any(back > time.monotonic() for _, _, back in world.out):
            return
        begun = time.monotonic()
        for_s = chance.uniform(1.0, 8.0)
        world.store.put("op", f"evacuate/{domain}", b"{}")
        world.out.append((domain, begun, begun + for_s))
        eventlet.sleep(for_s)
        world.store.remove("op", f"evacuate/{domain}")


KINDS: tuple[type[Fault], ...] = (
    KillGateway,
    StopGateway,
    PauseGateway,
    ReloadGateway,
    HarmStoreLink,
    HarmStore,
    LeaveEndpoint,
    LeaveEndpoint,
    KillEndpoint,
    PauseEndpoint,
    SpoilEndpoint,
    HarmEndpointLink,
    ChangeDeployment,
    RevokeUnseen,
    TakeDomainOut,
)
"""What is drawn from; what stands twice comes twice as often."""


@contextmanager
def _harming(world: World, name: str, kind: str, seconds: float) -> Iterator[None]:
    """Let harm last, then let the body end it, and note the whole span."""
    begun = time.monotonic()
    eventlet.sleep(seconds)
    yield
    world.disturbances.note(name, kind, begun, time.monotonic())


def _restart(world: World, gateway: Gateway, kind: str, begun: float) -> None:
    gateway.process.start()
    gateway.is_busy = False
    ended = time.monotonic() + WARM_UP_S
    world.disturbances.note(gateway.name, kind, begun, ended)


def _harm(link: Relay, chance: random.Random) -> str:
    how = chance.choice(["delay", "cut", "cut one way", "reset", "silence", "refuse"])
    if how == "delay":
        link.delay_s = 0.1
    elif how == "cut":
        link.is_cut = link.is_cut_back = True
    elif how == "cut one way":
        link.is_cut_back = True
    elif how == "reset":
        link.reset()
    elif how == "silence":
        link.silence()
    else:
        link.is_refusing = True
        link.reset()
    return how
