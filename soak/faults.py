"""Faults that a soak injects from outside the processes."""

import random
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

import eventlet

from .deployment import DOMAINS, KEYS, REVOKE_LIMIT_S, REVOKED_KEY, STOP_GRACE_S
from .fault_spans import KILLED, PAUSED, PLANNED_STOP, STORE
from .gateway import Gateway
from .relay import Relay
from .world import World

RESTART_DELAY_S = 0.3
"""Time until the platform restarts a process that has ended."""
ENTRY_EXPIRY_S = 3.0
"""Time until the platform removes the entry of an endpoint that has died."""
GATEWAY_START_S = 1.5
"""Time that a gateway takes to start and read its configuration."""


class Fault(Protocol):
    """One kind of fault."""

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault, wait, and end it."""
        ...


class KillGateway:
    """SIGKILL to a gateway, which is then restarted."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        gateway = rng.choice(world.gateways)
        if gateway.is_restarting:
            return
        gateway.is_restarting = True
        started_at = time.monotonic()
        gateway.process.kill()
        eventlet.sleep(RESTART_DELAY_S)
        _restart(world, gateway, KILLED, started_at)


class StopGateway:
    """SIGTERM to a gateway, which is then restarted; SIGKILL after `STOP_GRACE_S`."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        gateway = rng.choice(world.gateways)
        if gateway.is_restarting:
            return
        gateway.is_restarting = True
        started_at = time.monotonic()
        gateway.process.signal(signal.SIGTERM)
        if not gateway.process.wait(STOP_GRACE_S):
            gateway.process.kill()
        eventlet.sleep(RESTART_DELAY_S)
        _restart(world, gateway, PLANNED_STOP, started_at)


class PauseGateway:
    """SIGSTOP to a gateway for some time."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        gateway = rng.choice(world.gateways)
        gateway.process.signal(signal.SIGSTOP)
        pause_s = rng.choice([0.3, 1.0, 3.0, 6.0])
        with _fault_span(world, gateway.name, PAUSED, pause_s):
            gateway.process.signal(signal.SIGCONT)


class ReloadGateway:
    """Change of a gateway's settings file, with SIGHUP."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        rng.choice(world.gateways).reload()


class ImpairStoreLink:
    """Network fault between a gateway and the store."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        gateway = rng.choice(world.gateways)
        impairment = _impair_link(gateway.link, rng)
        with _fault_span(
            world, gateway.name, f"link {impairment}", rng.uniform(0.5, 7.0)
        ):
            gateway.link.heal()


class ImpairStore:
    """Store that is down, slow, unreachable or without its history."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        impairment = rng.choice(["down", "slow", "forgetful", "silent"])
        if impairment == "forgetful":
            world.store.forget_history()
        elif impairment == "down":
            world.store.is_down = True
        elif impairment == "slow":
            world.store.delay_s = 0.3
        else:
            for gateway in world.gateways:
                gateway.link.is_forward_blocked = gateway.link.is_return_blocked = True
        with _fault_span(world, STORE, impairment, rng.uniform(0.5, 7.0)):
            world.store.is_down = False
            world.store.delay_s = 0.0
            for gateway in world.gateways:
                gateway.link.heal()


class DrainEndpoint:
    """Planned stop of an endpoint: it drains, and another replaces it."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        service = rng.choice(["scribe", "scribe", "desk"])
        endpoint = world.pick_endpoint(rng, service)
        if endpoint is None:
            return
        notice_s = rng.choice([1.5, 2.0, 5.0])
        world.store.put("servers", endpoint.name, endpoint.entry(state="draining"))
        world.draining_since[endpoint.name] = time.monotonic()
        endpoint.set_behaviour(leaves_ms=notice_s * 1000)
        replacement = eventlet.spawn(world.add_endpoint, service, endpoint.domain)
        eventlet.sleep(notice_s)
        world.remove_endpoint(endpoint)
        replacement.wait()


class KillEndpoint:
    """SIGKILL to an endpoint, which returns under its name or a new one."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        service = rng.choice(["scribe", "desk"])
        endpoint = world.pick_endpoint(rng, service)
        if endpoint is None:
            return
        endpoint.process.kill()
        if rng.random() < 0.5:
            eventlet.sleep(RESTART_DELAY_S)
            world.add_endpoint(service, endpoint.domain, name=endpoint.name)
            return
        eventlet.sleep(ENTRY_EXPIRY_S)
        world.remove_endpoint(endpoint)
        world.add_endpoint(service, endpoint.domain)


class PauseEndpoint:
    """SIGSTOP to an endpoint for some time."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        endpoint = world.pick_endpoint(rng, rng.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        endpoint.process.signal(signal.SIGSTOP)
        with _fault_span(world, endpoint.name, PAUSED, rng.uniform(0.3, 3.0)):
            endpoint.process.signal(signal.SIGCONT)


class DegradeEndpoint:
    """Endpoint that fails, refuses, hangs or resets connections for some time."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        endpoint = world.pick_endpoint(rng, rng.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        mode = rng.choice(["failing", "full", "hanging", "mute"])
        endpoint.set_behaviour(mode=mode)
        with _fault_span(world, endpoint.name, mode, rng.uniform(0.5, 4.0)):
            endpoint.set_behaviour(mode="sound")


class ImpairEndpointLink:
    """Network fault between the gateways and an endpoint."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        endpoint = world.pick_endpoint(rng, rng.choice(["scribe", "desk"]))
        if endpoint is None:
            return
        impairment = _impair_link(endpoint.link, rng)
        with _fault_span(
            world, endpoint.name, f"link {impairment}", rng.uniform(0.5, 4.0)
        ):
            endpoint.link.heal()


class ChangeConfiguration:
    """Removal of a key or a route, which is restored later."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        before = world.versions[-1]
        if rng.random() < 0.5:
            world.configure(set(KEYS) - {REVOKED_KEY}, before.removed_kinds)
        else:
            world.configure(before.keys, {"lookup"})
        eventlet.sleep(rng.uniform(0.1, 8.0))
        world.configure(set(KEYS), set())


class RevokeKeyDuringPartition:
    """Revocation of a key while a gateway is cut off from the store."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        gateway = rng.choice(world.gateways)
        gateway.link.is_forward_blocked = gateway.link.is_return_blocked = True
        with _fault_span(world, gateway.name, "link cut", rng.uniform(0.1, 1.0)):
            world.configure(set(KEYS) - {REVOKED_KEY}, world.versions[-1].removed_kinds)
            eventlet.sleep(REVOKE_LIMIT_S + rng.uniform(1.0, 3.0))
            world.configure(set(KEYS), set())
            gateway.link.heal()


class EvacuateDomain:
    """Failure domain that is out of service for some time."""

    __slots__ = ()

    def run(self, world: World, rng: random.Random) -> None:
        """Inject the fault; see `Fault.run`."""
        domain = rng.choice(DOMAINS)
        if any(back_at > time.monotonic() for _, _, back_at in world.domain_outages):
            return
        started_at = time.monotonic()
        duration_s = rng.uniform(1.0, 8.0)
        world.store.put("op", f"evacuate/{domain}", b"{}")
        world.domain_outages.append((domain, started_at, started_at + duration_s))
        eventlet.sleep(duration_s)
        world.store.remove("op", f"evacuate/{domain}")


FAULT_TYPES: tuple[type[Fault], ...] = (
    KillGateway,
    StopGateway,
    PauseGateway,
    ReloadGateway,
    ImpairStoreLink,
    ImpairStore,
    DrainEndpoint,
    DrainEndpoint,
    KillEndpoint,
    PauseEndpoint,
    DegradeEndpoint,
    ImpairEndpointLink,
    ChangeConfiguration,
    RevokeKeyDuringPartition,
    EvacuateDomain,
)
"""Kinds of fault to draw from; one that is listed twice is drawn twice as often."""


@contextmanager
def _fault_span(world: World, name: str, kind: str, seconds: float) -> Iterator[None]:
    """Wait while a fault lasts, run the body that ends it, and record its span."""
    started_at = time.monotonic()
    eventlet.sleep(seconds)
    yield
    world.fault_spans.add(name, kind, started_at, time.monotonic())


def _restart(world: World, gateway: Gateway, kind: str, started_at: float) -> None:
    gateway.process.start()
    gateway.is_restarting = False
    ended_at = time.monotonic() + GATEWAY_START_S
    world.fault_spans.add(gateway.name, kind, started_at, ended_at)


def _impair_link(link: Relay, rng: random.Random) -> str:
    impairment = rng.choice(
        ["delay", "cut", "cut one way", "reset", "silence", "refuse"]
    )
    if impairment == "delay":
        link.delay_s = 0.1
    elif impairment == "cut":
        link.is_forward_blocked = link.is_return_blocked = True
    elif impairment == "cut one way":
        link.is_return_blocked = True
    elif impairment == "reset":
        link.reset_connections()
    elif impairment == "silence":
        link.blackhole_connections()
    else:
        link.is_refusing = True
        link.reset_connections()
    return impairment
