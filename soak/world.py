"""Compose what is soaked: a store, gateways, endpoints and callers."""

import random
import time
from pathlib import Path

import eventlet

from hawthornyard.front import HttpServer
from hawthornyard.platform.standins import PlatformStoreApp

from .caller import Caller
from .deployment import COLD_S, DOMAINS, KEYS, config
from .endpoint import Endpoint
from .gateway import Gateway
from .ports import LOOPBACK
from .record import Ran, Sent, read_runs
from .touch import Disturbances

N_GATEWAYS = 3
N_ENDPOINTS = {"scribe": 4, "desk": 3}
CALLERS = {"summary": (16, 1.0), "badge": (5, 0.25), "lookup": (4, 0.25)}
"""Callers of each kind, and the mean pause of each between two requests."""
START_TIMEOUT_S = 20.0


class Version:
    """One configuration that the store has acknowledged.

    Attributes:
        at: Monotonic seconds of the acknowledgement.
        keys: Keys that hold.
        removed: Kinds of request without a route.
    """

    __slots__ = ("at", "keys", "removed")

    def __init__(self, at: float, keys: set[str], removed: set[str]) -> None:
        self.at = at
        self.keys = keys
        self.removed = removed


class World:
    """All that runs during one seed.

    Args:
        folder: Where logs, journals and settings go.
        seed: Seed of the callers.

    Attributes:
        disturbances: What was disturbed, and when.
        endpoints: All endpoints that ever were, by name and incarnation.
        entries: Those that may run requests, by name.
        gateways: The gateways.
        leaving: Times at which endpoints were acknowledged as leaving, by name.
        out: Failure domain, and when it was taken out and back.
        sent: What callers sent.
        store: The store.
        versions: Configurations in order.
    """

    __slots__ = (
        "_folder",
        "_is_over",
        "_n_endpoints",
        "_seed",
        "disturbances",
        "endpoints",
        "entries",
        "gateways",
        "leaving",
        "out",
        "sent",
        "store",
        "versions",
    )

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder = folder
        self._seed = seed
        self._is_over = False
        self._n_endpoints = 0
        self.store = PlatformStoreApp()
        self.disturbances = Disturbances()
        self.endpoints: list[Endpoint] = []
        self.entries: dict[str, Endpoint] = {}
        self.leaving: dict[str, float] = {}
        self.out: list[tuple[str, float, float]] = []
        self.sent: list[Sent] = []
        self.versions: list[Version] = []
        server = HttpServer((LOOPBACK, 0), self.store)
        server.start()
        self.configure(set(KEYS), set())
        self.gateways = [
            Gateway(folder, f"gateway-{index}", domain, server.port)
            for index, domain in enumerate(DOMAINS[:N_GATEWAYS])
        ]

    def start(self) -> None:
        """Start all processes and wait until gateways are ready."""
        pool = eventlet.GreenPool()
        for service, n_endpoints in N_ENDPOINTS.items():
            for index in range(n_endpoints):
                domain = DOMAINS[index % len(DOMAINS)]
                pool.spawn_n(self.add_endpoint, service, domain, cold_s=0.0)
        pool.waitall()
        for gateway in self.gateways:
            gateway.process.start()
            eventlet.spawn_n(gateway.probe)
        with eventlet.Timeout(START_TIMEOUT_S):
            while not all(gateway.is_ready for gateway in self.gateways):
                eventlet.sleep(0.05)

    def start_callers(self) -> None:
        """Let callers send until `close`."""
        for kind, (n_callers, pause_s) in CALLERS.items():
            for index in range(n_callers):
                name = f"{kind}-{index}"
                caller = Caller(name, f"{self._seed}/{name}", self.gateways, self.sent)
                eventlet.spawn_n(caller.run, kind, pause_s, lambda: self._is_over)

    def stop_callers(self) -> None:
        """Let callers send nothing more."""
        self._is_over = True

    def close(self) -> None:
        """End all processes that were started here."""
        self._is_over = True
        for gateway in self.gateways:
            gateway.process.kill()
        for endpoint in self.endpoints:
            endpoint.process.kill()

    def configure(self, keys: set[str], removed: set[str]) -> None:
        """Put a configuration in force.

        Args:
            keys: Keys that hold.
            removed: Kinds of request without a route.
        """
        version = 3 * len(self.versions) + 1
        self.store.put("op", "config", config(version, keys=keys, removed=removed))
        self.versions.append(Version(time.monotonic(), keys, removed))

    def add_endpoint(
        self, service: str, domain: str, *, name: str = "", cold_s: float = COLD_S
    ) -> Endpoint:
        """Start an endpoint and let it write of itself.

        Args:
            service: Service that it belongs to.
            domain: Its failure domain.
            name: Name of an earlier incarnation, empty for a new one.
            cold_s: Seconds until it is warm.
        """
        self._n_endpoints += 1
        name = name or f"{service}-{self._n_endpoints}"
        born = int(time.time() * 1000) + self._n_endpoints
        endpoint = Endpoint(self._folder, name, service, domain, born)
        self.endpoints.append(endpoint)
        endpoint.process.start()
        endpoint.wait_started()
        endpoint.cold_until = time.monotonic() + cold_s
        self.entries[name] = endpoint
        self.leaving.pop(name, None)
        self.store.put("servers", name, endpoint.entry(cold_s=cold_s))
        return endpoint

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """End an endpoint and remove what it wrote, unless it has come back."""
        endpoint.process.kill()
        if self.entries.get(endpoint.name) is endpoint:
            del self.entries[endpoint.name]
            self.store.remove("servers", endpoint.name)

    def pick_endpoint(self, chance: random.Random, service: str) -> Endpoint | None:
        """Return an endpoint that does not leave, None if too few are left."""
        found = [
            endpoint
            for name, endpoint in sorted(self.entries.items())
            if endpoint.service == service
            and name not in self.leaving
            and endpoint.process.is_running
        ]
        return chance.choice(found) if len(found) > 1 else None

    def runs(self) -> dict[str, list[Ran]]:
        """Return what endpoints ran, by request id in order of time."""
        found: dict[str, list[Ran]] = {}
        for endpoint in self.endpoints:
            for run in read_runs(endpoint.journal, endpoint.service):
                found.setdefault(run.request_id, []).append(run)
        for runs in found.values():
            runs.sort(key=lambda run: run.at)
        return found
