"""Follow the prompts that other gateways have sent and engines have not read."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...frames import GatewayLoads
from ..endpoints import Endpoints
from ..messages import GatewaysRead
from ..peers import Peers

# A report whose number is lower by less than this arrived late; one that is lower by
# more comes from a gateway that has restarted.
MAX_REORDERED = 100


class FollowPrefills:
    """Filter that keeps the queue of prompts at each endpoint; it only listens.

    It does nothing until an endpoint has reported a pace.

    Args:
        endpoints: Known endpoints.
        peers: The other gateways.
        clock: Source of time.
    """

    __slots__ = ("_busy", "_clock", "_endpoints", "_peers", "_sequences", "handlers")

    def __init__(self, endpoints: Endpoints, peers: Peers, clock: Clock) -> None:
        self._endpoints = endpoints
        self._peers = peers
        self._clock = clock
        # Endpoints at which a gateway has prompts waiting, by gateway.
        self._busy: dict[str, set[str]] = {}
        self._sequences: dict[str, int] = {}
        self.handlers: Handlers = {
            GatewaysRead: self._on_gateways_read,
            GatewayLoads: self._on_gateway_loads,
        }

    def _on_gateways_read(self, msg: GatewaysRead) -> Iterator[Message]:
        for name in self._sequences.keys() - msg.addresses.keys():
            self._sequences.pop(name)
            self._busy.pop(name, None)
        yield msg

    def _on_gateway_loads(self, msg: GatewayLoads) -> Iterator[Message]:
        is_used = bool(self._endpoints.paced_services)
        if is_used and self._peers.is_known(msg.name) and self._is_newest(msg):
            self._note(msg)
        yield msg

    def _is_newest(self, msg: GatewayLoads) -> bool:
        known = self._sequences.get(msg.name)
        if known is not None and known - MAX_REORDERED < msg.sequence <= known:
            return False
        self._sequences[msg.name] = msg.sequence
        return True

    def _note(self, msg: GatewayLoads) -> None:
        now = self._clock.now()
        waiting = {load.endpoint: load.n_prefill_tokens for load in msg.loads}
        busy = self._busy.setdefault(msg.name, set())
        if msg.is_complete:
            waiting = {**dict.fromkeys(busy, 0), **waiting}
        for name, n_tokens in waiting.items():
            endpoint = self._endpoints.get(name)
            if endpoint is not None:
                endpoint.prefills.note(msg.name, n_tokens, now)
            if n_tokens > 0:
                busy.add(name)
            else:
                busy.discard(name)
