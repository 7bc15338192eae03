"""Hold a whole deployment still, so that a fault can hit any step exactly."""

import copy
import json
from collections import deque
from collections.abc import Iterator

from features.support.history import Caller, Closure, History
from features.support.nodes import (
    FakeEndpoint,
    FaultyTable,
    GatewayNode,
    Node,
    SidecarNode,
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
SILENCE_S = 2.5
SETTLE_S = 90.0
STEP_S = 1.0
LATE_S = 15.0
DOMAINS = ("east", "west")
MORE_ENGINES = ("engine2", "engine3")


class Counter:
    """Make identifiers in sequence."""

    __slots__ = ("_n_made",)

    def __init__(self) -> None:
        self._n_made = 0

    def new(self) -> str:
        """Return the next identifier."""
        self._n_made += 1
        return f"id-{self._n_made}"


class Link:
    """One connection from a gateway to a sidecar.

    Attributes:
        to_sidecar: Frames on their way to the sidecar.
        to_gateway: Frames on their way to the gateway.
        is_silent: Whether nothing gets through for good.
        is_held: Whether frames wait.
        late: Frames of the former connection that the sidecar has not read.
        heard_at: When the gateway last got a frame.
    """

    __slots__ = (
        "gateway",
        "heard_at",
        "is_held",
        "is_open",
        "is_silent",
        "late",
        "sidecar",
        "to_gateway",
        "to_sidecar",
    )

    def __init__(self, gateway: GatewayNode, sidecar: SidecarNode) -> None:
        self.gateway = gateway
        self.sidecar = sidecar
        self.to_sidecar: deque[Frame] = deque()
        self.to_gateway: deque[Frame] = deque()
        self.late: deque[Frame] = deque()
        self.is_open = False
        self.is_silent = False
        self.is_held = False
        self.heard_at = 0.0

    def deliver(self, now: float) -> bool:
        """Move frames into inboxes; return whether any was moved."""
        if not self.is_open or self.is_silent or self.is_held:
            return False
        return self._to_gateway(now) | self._to_sidecar()

    def close(self) -> None:
        """End the connection for both ends."""
        if not self.is_open:
            return
        self.is_open = False
        self.is_silent = False
        self.late = self.to_sidecar
        self.to_sidecar = deque()
        self.to_gateway.clear()
        self.gateway.put(PeerDown(self.sidecar.name))
        self.sidecar.put(PeerDown(self.gateway.name))

    def open(self, now: float) -> None:
        """Connect anew."""
        self.is_open = True
        self.heard_at = now
        self.gateway.put(PeerUp(self.sidecar.name))
        self.sidecar.put(PeerUp(self.gateway.name))

    def deliver_late(self) -> None:
        """Deliver what the sidecar had not read of the former connection."""
        while self.late:
            self.sidecar.put(self.late.popleft().with_peer(self.gateway.name))

    def _to_gateway(self, now: float) -> bool:
        is_busy = bool(self.to_gateway)
        while self.to_gateway:
            if not self.gateway.is_frozen:
                self.heard_at = now
            self.gateway.put(self.to_gateway.popleft().with_peer(self.sidecar.name))
        return is_busy

    def _to_sidecar(self) -> bool:
        is_busy = bool(self.to_sidecar)
        while self.to_sidecar:
            self.sidecar.put(self.to_sidecar.popleft().with_peer(self.gateway.name))
        return is_busy


class World:
    """Two failure domains, each with an engine and a plain service.

    Attributes:
        clock: Moves only when the test advances it.
        history: What the checker looks at.
        table: The platform's table service.
        gateways: Gateways by name.
        sidecars: Sidecars by name.
        endpoints: Endpoints by name.
        is_cut: Whether no new connection can be opened.
        n_dispatched: Dispatches that gateways sent.
    """

    def __init__(
        self,
        *,
        seed: int = 1,
        n_gateways: int = 2,
        n_engines: int = 1,
        limit: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.history = History()
        self.table = FaultyTable()
        self.gateways: dict[str, GatewayNode] = {}
        self.sidecars: dict[str, SidecarNode] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.is_cut = False
        self.n_dispatched = 0
        self._limit = limit
        self._ids = Counter()
        self._seed = seed
        self._revision = 0
        self._started: list[Node] = []
        self._entries: list[RecordEntry] = []
        self._key, self._key_hash = new_key("kiosk")
        for domain in DOMAINS:
            for kind in ("engine", "service", *MORE_ENGINES[: n_engines - 1]):
                self._add_endpoint(f"{kind}-{domain}")
        self.apply(self._documents())
        for index in range(1, n_gateways + 1):
            self.add_gateway(f"gateway-{index}")
        self.settle(5)

    def add_gateway(self, name: str) -> GatewayNode:
        """Start a gateway with the records in force."""
        gateway = GatewayNode(name, self.clock, self._seed, self._ids, self.table)
        self.gateways[name] = gateway
        self._started.append(gateway)
        gateway.put(self._push())
        for sidecar in self.sidecars.values():
            self.links[name, sidecar.name] = Link(gateway, sidecar)
        return gateway

    def start_sidecar(self, name: str) -> SidecarNode:
        """Start a sidecar; an older one of the name has lost its connections."""
        endpoint = self.endpoints[name]
        domain = name.split("-")[1]
        sidecar = SidecarNode(endpoint, domain, self._ids.new(), self.clock)
        endpoint.attach(sidecar)
        self._started.append(sidecar)
        self.sidecars[name] = sidecar
        for link in self.links_of(name):
            link.close()
            link.sidecar = sidecar
        for gateway in self.gateways.values():
            self.links.setdefault((gateway.name, name), Link(gateway, sidecar))
        return sidecar

    def kill(self, node: Node) -> None:
        """End a process at once; its connections break."""
        node.is_alive = False
        for link in self.links_of(node.name):
            link.close()
        if isinstance(node, GatewayNode):
            for caller in node.calls.values():
                caller.is_cut = True
            node.calls.clear()
        else:
            self.endpoints[node.name].attach(node)

    def links_of(self, name: str) -> list[Link]:
        """Return the links of a gateway or sidecar."""
        return [link for pair, link in self.links.items() if name in pair]

    def apply(self, documents: list[Document], *, cut_off: str = "") -> None:
        """Accept records; every gateway but `cut_off` reads them at once."""
        self._revision += 1
        for document in documents:
            text = json.dumps(upgrade(document))
            self._entries.append(
                RecordEntry(document["kind"], document["name"], self._revision, text)
            )
        for gateway in self.gateways.values():
            if gateway.name != cut_off:
                gateway.put(self._push())

    def set_domain(self, domain: str, *, in_service: bool, cut_off: str = "") -> None:
        """Take a failure domain out or bring it back."""
        spec = {"region": "kingston", "in_service": in_service}
        self.apply([_document("failure_domain", domain, spec)], cut_off=cut_off)
        for name in self.endpoints:
            if name.endswith(domain):
                self.close_endpoint(name, is_closed=not in_service)

    def close_endpoint(self, name: str, *, is_closed: bool) -> None:
        """Tell the checker that an endpoint must get no new work."""
        now = self.clock.now()
        if is_closed:
            self.history.closures.append(Closure(name, now))
            return
        for closure in self.history.closures:
            if closure.endpoint == name:
                closure.ends = min(closure.ends, now)

    def generate(self, gateway: str, request_id: str) -> Caller:
        """Send a request for a generation."""
        caller = Caller(request_id)
        self.history.callers.append(caller)
        self._call(gateway, caller, "", Generation("scribe", request_id, 8))
        return caller

    def record(self, gateway: str, request_id: str, *, key: str = "") -> Caller:
        """Send a badge issue, which may run at most once."""
        caller = Caller(request_id, idempotent=False, key=key)
        self.history.callers.append(caller)
        self._call(
            gateway, caller, "frontdesk", ServiceCall("POST", "/badges", [], b"")
        )
        return caller

    def reconnect(self, caller: Caller, gateway: str) -> None:
        """Ask for the rest of a generation at another gateway."""
        token = caller.tokens[-1]
        caller.is_cut = False
        call_id = self._ids.new()
        node = self.gateways[gateway]
        node.calls[call_id] = caller
        node.put(
            Reconnect(
                call_id,
                caller.request_id,
                self._key,
                caller.endpoint,
                token.attempt_id,
                token.number,
            )
        )

    def leave(self, caller: Caller) -> None:
        """Close a caller's connection; a frozen gateway does not notice."""
        for gateway in self.gateways.values():
            for call_id, other in list(gateway.calls.items()):
                if other is caller:
                    del gateway.calls[call_id]
                    if not gateway.is_frozen:
                        gateway.put(CallerGone(call_id))
        caller.is_cut = True

    def run(self) -> None:
        """Move messages and frames until nothing moves."""
        while self._turn():
            continue

    def advance(self, seconds: float, *, emit: bool = False) -> None:
        """Let time pass in ticks.

        Args:
            seconds: How long.
            emit: Whether endpoints produce a token a tick.
        """
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            if emit:
                self._emit()
            self._tick()
            self.run()

    def settle(self, seconds: float) -> None:
        """Let time pass with all endpoints at work."""
        self.advance(seconds, emit=True)

    def settle_all(self) -> None:
        """Let time pass until all callers are answered, and what is late came."""
        for _ in range(round(SETTLE_S / STEP_S)):
            if all(caller.is_answered for caller in self.history.callers):
                break
            self.settle(STEP_S)
        self.settle(LATE_S)

    def nodes(self) -> Iterator[Node]:
        """Yield all processes."""
        yield from self.gateways.values()
        yield from self.sidecars.values()

    def _turn(self) -> bool:
        is_busy = False
        for node in self.nodes():
            is_busy |= node.turn()
            self._post(node)
            self._see(node)
        for gateway in self.gateways.values():
            is_busy |= gateway.claims.write()
        for endpoint in self.endpoints.values():
            is_busy |= endpoint.begin()
        for link in self.links.values():
            is_busy |= link.deliver(self.clock.now())
        return is_busy

    def _post(self, node: Node) -> None:
        while node.outbox:
            frame = node.outbox.popleft()
            self.n_dispatched += isinstance(frame, Dispatch)
            pair = (node.name, frame.peer)
            if pair in self.links:
                link, queue = self.links[pair], self.links[pair].to_sidecar
            elif pair[::-1] in self.links:
                link = self.links[pair[::-1]]
                queue = link.to_gateway
            else:
                continue
            if link.is_open and not link.is_silent:
                queue.append(copy.copy(frame))

    def _see(self, node: Node) -> None:
        catalog = node.catalog if isinstance(node, GatewayNode) else None
        if isinstance(node, SidecarNode):
            catalog = node.state.catalog
        assert catalog is not None
        process = f"{node.name}/{self._started.index(node)}"
        seen = self.history.revisions.setdefault(process, [])
        if not seen or seen[-1] != catalog.revision:
            seen.append(catalog.revision)

    def _emit(self) -> None:
        for endpoint in self.endpoints.values():
            endpoint.emit()

    def _tick(self) -> None:
        now = self.clock.now()
        for node in self.nodes():
            if node.is_alive:
                node.inbox.append(Tick(now))
        for link in self.links.values():
            self._keep(link, now)

    def _keep(self, link: Link, now: float) -> None:
        both = (link.gateway, link.sidecar)
        if link.is_open and not all(node.is_alive for node in both):
            link.close()
        if link.gateway.is_frozen:
            return
        suspected = link.sidecar.name in link.gateway.suspected
        if link.is_open and (suspected or now - link.heard_at > SILENCE_S):
            link.close()
        link.gateway.suspected.discard(link.sidecar.name)
        can_open = all(node.is_alive and not node.is_frozen for node in both)
        if not link.is_open and can_open and not self.is_cut:
            link.open(now)

    def _call(self, gateway: str, caller: Caller, service: str, work: Work) -> None:
        call_id = self._ids.new()
        node = self.gateways[gateway]
        node.calls[call_id] = caller
        msg: Message = Call(
            call_id,
            caller.request_id,
            self._key,
            service,
            work,
            key=caller.key,
            digest="digest",
        )
        node.put(msg)

    def _add_endpoint(self, name: str) -> None:
        self.endpoints[name] = FakeEndpoint(name, self.clock, self.history)
        self.history.limits[name] = self._limit
        self.start_sidecar(name)

    def _push(self) -> Message:
        return ConfigPush(0, self._revision, list(self._entries)).with_peer("")

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
        """Return the record of an endpoint, which bears one attempt."""
        kind, domain = name.split("-")
        spec = {
            "failure_domain": domain,
            "sidecar": "127.0.0.1:1",
            "protocol": "http" if kind == "service" else "generation",
            "initial_limit": self._limit,
            "max_limit": self._limit,
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
