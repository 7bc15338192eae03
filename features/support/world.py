"""Simulate a deployment under a manual clock, to inject faults at exact steps."""

import copy
import json
from collections import deque
from collections.abc import Iterator

from features.support.history import Caller, History, UnavailablePeriod
from features.support.simulation import (
    FakeEndpoint,
    SimulatedGateway,
    SimulatedProcess,
    SimulatedSidecar,
    SimulatedTable,
)
from hawthornyard.core import ManualClock, Message, PeerDown, PeerUp, Tick
from hawthornyard.frames import (
    ConfigPush,
    Dispatch,
    Frame,
    Generation,
    RecordEntry,
    ServiceCall,
    Work,
)
from hawthornyard.gateway.messages import Call, CallerGone, Reconnect
from hawthornyard.records import Document, new_key, upgrade

TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 2.5
SETTLE_TIMEOUT_S = 90.0
SETTLE_STEP_S = 1.0
LATE_FRAMES_S = 15.0
DOMAINS = ("east", "west")
EXTRA_ENGINES = ("engine2", "engine3")


class SequentialIds:
    """Source of sequential, reproducible identifiers."""

    __slots__ = ("_n_made",)

    def __init__(self) -> None:
        self._n_made = 0

    def new(self) -> str:
        """Return the next identifier."""
        self._n_made += 1
        return f"id-{self._n_made}"


class Link:
    """The connection from a gateway to a sidecar.

    Attributes:
        to_sidecar: Frames in transit to the sidecar.
        to_gateway: Frames in transit to the gateway.
        is_open: Whether the connection is established.
        drops_frames: Whether the connection is half-open: frames are lost although
            both ends believe it is up.
        is_held: Whether frames are delayed in transit.
        late_frames: Frames of the previous connection that the sidecar has not read.
        last_received_at: When the gateway last received a frame, in seconds.
    """

    __slots__ = (
        "drops_frames",
        "gateway",
        "is_held",
        "is_open",
        "last_received_at",
        "late_frames",
        "sidecar",
        "to_gateway",
        "to_sidecar",
    )

    def __init__(self, gateway: SimulatedGateway, sidecar: SimulatedSidecar) -> None:
        self.gateway = gateway
        self.sidecar = sidecar
        self.to_sidecar: deque[Frame] = deque()
        self.to_gateway: deque[Frame] = deque()
        self.late_frames: deque[Frame] = deque()
        self.is_open = False
        self.drops_frames = False
        self.is_held = False
        self.last_received_at = 0.0

    def deliver(self, now: float) -> bool:
        """Deliver frames in transit to the inboxes; return whether there were any."""
        if not self.is_open or self.drops_frames or self.is_held:
            return False
        return self._deliver_to_gateway(now) | self._deliver_to_sidecar()

    def close(self) -> None:
        """Close the connection and report it to both ends."""
        if not self.is_open:
            return
        self.is_open = False
        self.drops_frames = False
        self.late_frames = self.to_sidecar
        self.to_sidecar = deque()
        self.to_gateway.clear()
        self.gateway.put(PeerDown(self.sidecar.name))
        self.sidecar.put(PeerDown(self.gateway.name))

    def open(self, now: float) -> None:
        """Open the connection and report it to both ends."""
        self.is_open = True
        self.last_received_at = now
        self.gateway.put(PeerUp(self.sidecar.name))
        self.sidecar.put(PeerUp(self.gateway.name))

    def deliver_late(self) -> None:
        """Deliver the unread frames of the previous connection to the sidecar."""
        while self.late_frames:
            self.sidecar.put(self.late_frames.popleft().with_peer(self.gateway.name))

    def _deliver_to_gateway(self, now: float) -> bool:
        made_progress = bool(self.to_gateway)
        while self.to_gateway:
            if not self.gateway.is_frozen:
                self.last_received_at = now
            self.gateway.put(self.to_gateway.popleft().with_peer(self.sidecar.name))
        return made_progress

    def _deliver_to_sidecar(self) -> bool:
        made_progress = bool(self.to_sidecar)
        while self.to_sidecar:
            self.sidecar.put(self.to_sidecar.popleft().with_peer(self.gateway.name))
        return made_progress


class World:
    """A simulated deployment in two failure domains.

    Each failure domain has engines and one plain service.

    Attributes:
        clock: Clock that moves only when the test advances it.
        history: What the deployment did, for the checker.
        table: The platform's table service.
        gateways: Gateways by name.
        sidecars: Sidecars by name.
        endpoints: Endpoints by name.
        links: Links by the names of gateway and sidecar.
        is_partitioned: Whether no new connection can be opened.
        n_dispatched: Number of dispatches that gateways sent.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        n_gateways: int = 2,
        n_engines: int = 1,
        concurrency_limit: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.history = History()
        self.table = SimulatedTable()
        self.gateways: dict[str, SimulatedGateway] = {}
        self.sidecars: dict[str, SimulatedSidecar] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.is_partitioned = False
        self.n_dispatched = 0
        self._concurrency_limit = concurrency_limit
        self._ids = SequentialIds()
        self._seed = seed
        self._revision = 0
        self._started_processes: list[SimulatedProcess] = []
        self._record_entries: list[RecordEntry] = []
        self._key, self._key_hash = new_key("kiosk")
        for domain in DOMAINS:
            for kind in ("engine", "service", *EXTRA_ENGINES[: n_engines - 1]):
                self._add_endpoint(f"{kind}-{domain}")
        self.apply_documents(self._documents())
        for index in range(1, n_gateways + 1):
            self.add_gateway(f"gateway-{index}")
        self.settle(5)

    def add_gateway(self, name: str) -> SimulatedGateway:
        """Start a gateway with the current records."""
        gateway = SimulatedGateway(name, self.clock, self._seed, self._ids, self.table)
        self.gateways[name] = gateway
        self._started_processes.append(gateway)
        gateway.put(self._config_push())
        for sidecar in self.sidecars.values():
            self.links[name, sidecar.name] = Link(gateway, sidecar)
        return gateway

    def start_sidecar(self, name: str) -> SimulatedSidecar:
        """Start a sidecar, closing the connections of an older one of this name."""
        endpoint = self.endpoints[name]
        domain = name.split("-")[1]
        sidecar = SimulatedSidecar(endpoint, domain, self._ids.new(), self.clock)
        endpoint.attach(sidecar)
        self._started_processes.append(sidecar)
        self.sidecars[name] = sidecar
        for link in self.links_of(name):
            link.close()
            link.sidecar = sidecar
        for gateway in self.gateways.values():
            self.links.setdefault((gateway.name, name), Link(gateway, sidecar))
        return sidecar

    def kill(self, process: SimulatedProcess) -> None:
        """Kill a process and close its connections."""
        process.is_alive = False
        for link in self.links_of(process.name):
            link.close()
        if isinstance(process, SimulatedGateway):
            for caller in process.callers_by_call_id.values():
                caller.is_disconnected = True
            process.callers_by_call_id.clear()
        else:
            self.endpoints[process.name].attach(process)

    def links_of(self, name: str) -> list[Link]:
        """Return the links of a gateway or a sidecar."""
        return [link for pair, link in self.links.items() if name in pair]

    def apply_documents(
        self, documents: list[Document], *, skip_gateway: str = ""
    ) -> None:
        """Accept records and push them to every gateway but `skip_gateway`."""
        self._revision += 1
        for document in documents:
            text = json.dumps(upgrade(document))
            self._record_entries.append(
                RecordEntry(document["kind"], document["name"], self._revision, text)
            )
        for gateway in self.gateways.values():
            if gateway.name != skip_gateway:
                gateway.put(self._config_push())

    def set_domain(
        self, domain: str, *, in_service: bool, skip_gateway: str = ""
    ) -> None:
        """Take a failure domain out of service or bring it back."""
        spec = {"region": "kingston", "in_service": in_service}
        self.apply_documents(
            [_document("failure_domain", domain, spec)], skip_gateway=skip_gateway
        )
        for name in self.endpoints:
            if name.endswith(domain):
                self.set_endpoint_unavailable(name, is_unavailable=not in_service)

    def set_endpoint_unavailable(self, name: str, *, is_unavailable: bool) -> None:
        """Record whether an endpoint must get no new work from now on."""
        now = self.clock.now()
        if is_unavailable:
            self.history.unavailable_periods.append(UnavailablePeriod(name, now))
            return
        for period in self.history.unavailable_periods:
            if period.endpoint == name:
                period.ends_at = min(period.ends_at, now)

    def generate(self, gateway: str, request_id: str) -> Caller:
        """Send a generation request."""
        caller = Caller(request_id)
        self.history.callers.append(caller)
        self._send_call(gateway, caller, "", Generation("scribe", request_id, 8))
        return caller

    def issue_badge(self, gateway: str, request_id: str, *, key: str = "") -> Caller:
        """Send a call that issues a badge, which may run at most once."""
        caller = Caller(request_id, idempotent=False, key=key)
        self.history.callers.append(caller)
        self._send_call(
            gateway, caller, "frontdesk", ServiceCall("POST", "/badges", [], b"")
        )
        return caller

    def reconnect(self, caller: Caller, gateway: str) -> None:
        """Resume a generation at a gateway after the last token received."""
        token = caller.tokens[-1]
        caller.is_disconnected = False
        call_id = self._ids.new()
        process = self.gateways[gateway]
        process.callers_by_call_id[call_id] = caller
        process.put(
            Reconnect(
                call_id,
                caller.request_id,
                self._key,
                caller.endpoint,
                token.attempt_id,
                token.number,
            )
        )

    def disconnect_caller(self, caller: Caller) -> None:
        """Close a caller's connections; a frozen gateway is not told."""
        for gateway in self.gateways.values():
            for call_id, other in list(gateway.callers_by_call_id.items()):
                if other is caller:
                    del gateway.callers_by_call_id[call_id]
                    if not gateway.is_frozen:
                        gateway.put(CallerGone(call_id))
        caller.is_disconnected = True

    def run_until_idle(self) -> None:
        """Process messages and deliver frames until none is left."""
        while self._run_step():
            continue

    def advance(self, seconds: float, *, emit: bool = False) -> None:
        """Advance the clock in ticks of TICK_S and process what follows.

        Args:
            seconds: How far to advance.
            emit: Whether endpoints generate one token per tick.
        """
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            if emit:
                self._emit_tokens()
            self._push_ticks()
            self.run_until_idle()

    def settle(self, seconds: float) -> None:
        """Advance the clock while endpoints generate tokens."""
        self.advance(seconds, emit=True)

    def settle_all(self) -> None:
        """Run until all callers are answered, then for LATE_FRAMES_S more.

        Gives up waiting for answers after SETTLE_TIMEOUT_S.
        """
        for _ in range(round(SETTLE_TIMEOUT_S / SETTLE_STEP_S)):
            if all(caller.is_answered for caller in self.history.callers):
                break
            self.settle(SETTLE_STEP_S)
        self.settle(LATE_FRAMES_S)

    def processes(self) -> Iterator[SimulatedProcess]:
        """Yield all gateways, then all sidecars."""
        yield from self.gateways.values()
        yield from self.sidecars.values()

    def _run_step(self) -> bool:
        made_progress = False
        for process in self.processes():
            made_progress |= process.process_inbox()
            self._send_frames(process)
            self._record_revision(process)
        for gateway in self.gateways.values():
            made_progress |= gateway.claims.process_next()
        for endpoint in self.endpoints.values():
            made_progress |= endpoint.start_pending()
        for link in self.links.values():
            made_progress |= link.deliver(self.clock.now())
        return made_progress

    def _send_frames(self, process: SimulatedProcess) -> None:
        while process.outbox:
            frame = process.outbox.popleft()
            self.n_dispatched += isinstance(frame, Dispatch)
            pair = (process.name, frame.peer)
            if pair in self.links:
                link, queue = self.links[pair], self.links[pair].to_sidecar
            elif pair[::-1] in self.links:
                link = self.links[pair[::-1]]
                queue = link.to_gateway
            else:
                continue
            if link.is_open and not link.drops_frames:
                queue.append(copy.copy(frame))

    def _record_revision(self, process: SimulatedProcess) -> None:
        catalog = process.catalog if isinstance(process, SimulatedGateway) else None
        if isinstance(process, SimulatedSidecar):
            catalog = process.state.catalog
        assert catalog is not None
        process_id = f"{process.name}/{self._started_processes.index(process)}"
        revisions = self.history.revisions.setdefault(process_id, [])
        if not revisions or revisions[-1] != catalog.revision:
            revisions.append(catalog.revision)

    def _emit_tokens(self) -> None:
        for endpoint in self.endpoints.values():
            endpoint.emit_tokens()

    def _push_ticks(self) -> None:
        now = self.clock.now()
        for process in self.processes():
            if process.is_alive:
                process.inbox.append(Tick(now))
        for link in self.links.values():
            self._maintain_link(link, now)

    def _maintain_link(self, link: Link, now: float) -> None:
        link_ends = (link.gateway, link.sidecar)
        if link.is_open and not all(process.is_alive for process in link_ends):
            link.close()
        if link.gateway.is_frozen:
            return
        is_suspected = link.sidecar.name in link.gateway.suspected_peers
        if link.is_open and (
            is_suspected or now - link.last_received_at > HEARTBEAT_TIMEOUT_S
        ):
            link.close()
        link.gateway.suspected_peers.discard(link.sidecar.name)
        can_open = all(
            process.is_alive and not process.is_frozen for process in link_ends
        )
        if not link.is_open and can_open and not self.is_partitioned:
            link.open(now)

    def _send_call(
        self, gateway: str, caller: Caller, service: str, work: Work
    ) -> None:
        call_id = self._ids.new()
        process = self.gateways[gateway]
        process.callers_by_call_id[call_id] = caller
        msg: Message = Call(
            call_id,
            caller.request_id,
            self._key,
            service,
            work,
            key=caller.key,
            digest="digest",
        )
        process.put(msg)

    def _add_endpoint(self, name: str) -> None:
        self.endpoints[name] = FakeEndpoint(name, self.clock, self.history)
        self.history.concurrency_limits[name] = self._concurrency_limit
        self.start_sidecar(name)

    def _config_push(self) -> Message:
        return ConfigPush(0, self._revision, list(self._record_entries)).with_peer("")

    def _documents(self) -> list[Document]:
        team = {
            "key_hash": self._key_hash,
            "services": ["summaries", "frontdesk"],
            "requests_per_s": 1000,
            "tokens_per_s": 100000,
        }
        documents = [
            _document("failure_domain", name, {"region": "kingston"})
            for name in DOMAINS
        ]
        documents += [
            _document("model", "scribe", {"context_tokens": 8192}),
            _document("service", "summaries", _SUMMARIES),
            _document("service", "frontdesk", _FRONTDESK, schema=2),
            _document("team", "kiosk", team),
        ]
        documents += [self.endpoint_document(name) for name in self.endpoints]
        return documents

    def endpoint_document(self, name: str, *, leaving: bool = False) -> Document:
        """Return the record of an endpoint with the concurrency limit of this world."""
        kind, domain = name.split("-")
        spec = {
            "failure_domain": domain,
            "sidecar": "127.0.0.1:1",
            "protocol": "http" if kind == "service" else "generation",
            "initial_limit": self._concurrency_limit,
            "max_limit": self._concurrency_limit,
            "leaving": leaving,
        }
        if kind == "service":
            spec["services"] = ["frontdesk"]
        else:
            spec["models"] = ["scribe"]
        return _document("endpoint", name, spec)


_SUMMARIES = {
    "protocol": "generation",
    "models": ["scribe"],
    "class": "visitor",
    "deadline_s": 300,
}

_FRONTDESK = {
    "protocol": "http",
    "priority": 9,
    "deadline_s": 300,
    "operations": [{"method": "POST", "path": "/badges", "idempotent": False}],
}


def _document(kind: str, name: str, spec: object, *, schema: int = 1) -> Document:
    return {"kind": kind, "schema": schema, "name": name, "spec": spec}
