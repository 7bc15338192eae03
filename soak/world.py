"""The deployment under test: store, gateways, endpoints and callers."""

import random
import time
from pathlib import Path

import eventlet

from hawthornyard.front import HttpServer
from hawthornyard.platform.standins import PlatformStoreApp
from hawthornyard.platform.standins.endpoint import DEADLY_PART_STATUS

from .caller import Caller
from .deployment import COLD_DURATION_S, DOMAINS, KEYS, operator_config
from .endpoint import Endpoint
from .fault_spans import FaultSpans
from .gateway import Gateway
from .loopback import LOOPBACK
from .record import Attempt, Execution, read_executions

N_GATEWAYS = 3
N_ENDPOINTS = {"scribe": 4, "desk": 3}
CALLERS = {"summary": (16, 1.0), "badge": (5, 0.25), "lookup": (4, 0.25)}
"""Number of callers by kind of request, and their mean pause in seconds."""
START_TIMEOUT_S = 20.0
CRASH_POLL_S = 0.05
CRASH_RESTART_S = 1.0
"""Time until an endpoint that the deadly part has ended is back."""


class ConfigVersion:
    """A version of the operators' configuration that the store has acknowledged.

    Attributes:
        acknowledged_at: Monotonic seconds of the acknowledgement.
        keys: Valid keys.
        removed_kinds: Kinds of request without a route.
    """

    __slots__ = ("acknowledged_at", "keys", "removed_kinds")

    def __init__(
        self, acknowledged_at: float, keys: set[str], removed_kinds: set[str]
    ) -> None:
        self.acknowledged_at = acknowledged_at
        self.keys = keys
        self.removed_kinds = removed_kinds


class World:
    """The processes, the store and the callers of one seed.

    Args:
        folder: Folder of logs, journals and settings.
        seed: Seed of the callers' choices.
        deadly_end: How an endpoint ends on the deadly part, see `EndpointStandIn`.

    Attributes:
        fault_spans: Spans of the injected faults.
        endpoints: All incarnations of all endpoints, ended ones included.
        registered: Endpoints with an entry in the store, by name.
        gateways: The gateways.
        deadly_crashes: Monotonic seconds at which the deadly part was seen to have
            ended an endpoint.
        is_tainting: Whether some callers' prompts have the deadly part.
        draining_since: Monotonic seconds at which the store acknowledged that an
            endpoint is draining, by name.
        domain_outages: Failure domains with the monotonic seconds at which they
            leave and return to service.
        attempts: All attempts of the callers.
        store: The store.
        versions: Versions of the configuration, oldest first.
    """

    __slots__ = (
        "_deadly_end",
        "_folder",
        "_is_stopped",
        "_n_endpoints",
        "_seed",
        "attempts",
        "deadly_crashes",
        "domain_outages",
        "draining_since",
        "endpoints",
        "fault_spans",
        "gateways",
        "is_tainting",
        "registered",
        "store",
        "versions",
    )

    def __init__(self, folder: Path, seed: int, *, deadly_end: str = "close") -> None:
        self._deadly_end = deadly_end
        self._folder = folder
        self._seed = seed
        self._is_stopped = False
        self._n_endpoints = 0
        self.store = PlatformStoreApp()
        self.fault_spans = FaultSpans()
        self.endpoints: list[Endpoint] = []
        self.registered: dict[str, Endpoint] = {}
        self.draining_since: dict[str, float] = {}
        self.domain_outages: list[tuple[str, float, float]] = []
        self.attempts: list[Attempt] = []
        self.deadly_crashes: list[float] = []
        self.is_tainting = False
        self.versions: list[ConfigVersion] = []
        server = HttpServer((LOOPBACK, 0), self.store)
        server.start()
        self.configure(set(KEYS), set())
        self.gateways = [
            Gateway(folder, f"gateway-{index}", domain, server.port)
            for index, domain in enumerate(DOMAINS[:N_GATEWAYS])
        ]

    def start(self) -> None:
        """Start all processes and wait until all gateways are ready."""
        pool = eventlet.GreenPool()
        for service, n_endpoints in N_ENDPOINTS.items():
            for index in range(n_endpoints):
                domain = DOMAINS[index % len(DOMAINS)]
                pool.spawn_n(self.add_endpoint, service, domain, cold_s=0.0)
        pool.waitall()
        for gateway in self.gateways:
            gateway.process.start()
            eventlet.spawn_n(gateway.probe_readiness)
        with eventlet.Timeout(START_TIMEOUT_S):
            while not all(gateway.is_ready for gateway in self.gateways):
                eventlet.sleep(0.05)

    def start_callers(self) -> None:
        """Start the callers, which send until `stop_callers` or `close`."""
        for kind, (n_callers, pause_s) in CALLERS.items():
            for index in range(n_callers):
                name = f"{kind}-{index}"
                caller = Caller(
                    name,
                    f"{self._seed}/{name}",
                    self.gateways,
                    self.attempts,
                    lambda: self.is_tainting,
                )
                eventlet.spawn_n(caller.run, kind, pause_s, lambda: self._is_stopped)

    def restart_ended_endpoints(self) -> None:
        """Start endpoints again that the deadly part has ended; never returns."""
        while not self._is_stopped:
            eventlet.sleep(CRASH_POLL_S)
            for endpoint in list(self.registered.values()):
                if endpoint.process.status == DEADLY_PART_STATUS:
                    self.deadly_crashes.append(time.monotonic())
                    del self.registered[endpoint.name]
                    eventlet.spawn_after(
                        CRASH_RESTART_S, self._restart_endpoint, endpoint
                    )

    def _restart_endpoint(self, endpoint: Endpoint) -> None:
        if not self._is_stopped and endpoint.name not in self.registered:
            self.add_endpoint(endpoint.service, endpoint.domain, name=endpoint.name)

    def stop_callers(self) -> None:
        """Stop the callers after the request that each of them is sending."""
        self._is_stopped = True

    def close(self) -> None:
        """Kill all gateways and endpoints."""
        self._is_stopped = True
        for gateway in self.gateways:
            gateway.process.kill()
        for endpoint in self.endpoints:
            endpoint.process.kill()

    def configure(self, keys: set[str], removed_kinds: set[str]) -> None:
        """Write a new version of the configuration to the store.

        Args:
            keys: Valid keys.
            removed_kinds: Kinds of request without a route.
        """
        version = 3 * len(self.versions) + 1
        self.store.put(
            "op",
            "config",
            operator_config(version, keys=keys, removed_kinds=removed_kinds),
        )
        self.versions.append(ConfigVersion(time.monotonic(), keys, removed_kinds))

    def add_endpoint(
        self,
        service: str,
        domain: str,
        *,
        name: str = "",
        cold_s: float = COLD_DURATION_S,
    ) -> Endpoint:
        """Start an endpoint and register it in the store.

        Args:
            service: Service of the endpoint.
            domain: Failure domain of the endpoint.
            name: Name of an earlier incarnation, empty for a new name.
            cold_s: Seconds until the endpoint is warm.
        """
        self._n_endpoints += 1
        name = name or f"{service}-{self._n_endpoints}"
        born = int(time.time() * 1000) + self._n_endpoints
        endpoint = Endpoint(
            self._folder, name, service, domain, born, deadly_end=self._deadly_end
        )
        self.endpoints.append(endpoint)
        endpoint.process.start()
        endpoint.wait_started()
        endpoint.cold_until = time.monotonic() + cold_s
        self.registered[name] = endpoint
        self.draining_since.pop(name, None)
        self.store.put("servers", name, endpoint.entry(cold_s=cold_s))
        return endpoint

    def remove_endpoint(self, endpoint: Endpoint) -> None:
        """Kill an endpoint and remove its entry unless a later incarnation owns it."""
        endpoint.process.kill()
        if self.registered.get(endpoint.name) is endpoint:
            del self.registered[endpoint.name]
            self.store.remove("servers", endpoint.name)

    def pick_endpoint(self, rng: random.Random, service: str) -> Endpoint | None:
        """Return a random endpoint that isn't draining, None if only one is left."""
        candidates = [
            endpoint
            for name, endpoint in sorted(self.registered.items())
            if endpoint.service == service
            and name not in self.draining_since
            and endpoint.process.is_running
        ]
        return rng.choice(candidates) if len(candidates) > 1 else None

    def executions(self) -> dict[str, list[Execution]]:
        """Return the executions by request id, each list in order of their start."""
        by_request_id: dict[str, list[Execution]] = {}
        for endpoint in self.endpoints:
            for execution in read_executions(endpoint.journal, endpoint.service):
                by_request_id.setdefault(execution.request_id, []).append(execution)
        for executions in by_request_id.values():
            executions.sort(key=lambda execution: execution.started_at)
        return by_request_id
