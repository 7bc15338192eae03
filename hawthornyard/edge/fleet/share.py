"""Exchange load reports with the other gateways."""

from collections.abc import Iterator, Sequence

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import EndpointLoad, GatewayLoads
from ..eligibility import Eligibility
from ..endpoints import Endpoint, Endpoints
from ..messages import Dispatch, GatewaysRead
from ..peers import FULL_RATE_GATEWAYS, Peers
from ..retry_budget import SharedRetryBudget

# Interval between load reports: a quarter of the usual prefill time, since older
# loads mislead the placement.
SHARE_INTERVAL_S = 0.2


class ShareLoads:
    """Filter that exchanges loads and divides the limits shared by all gateways.

    Args:
        name: Name of this gateway.
        peers: The other gateways.
        endpoints: Known endpoints.
        eligibility: Gets the number of gateways that share a cold endpoint's limit.
        retry_budget: Gets the number of gateways that share the budget.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_eligibility",
        "_endpoints",
        "_name",
        "_next_at",
        "_peers",
        "_retry_budget",
        "_sequence",
        "handlers",
    )

    def __init__(
        self,
        name: str,
        peers: Peers,
        endpoints: Endpoints,
        eligibility: Eligibility,
        retry_budget: SharedRetryBudget,
        clock: Clock,
    ) -> None:
        self._name = name
        self._peers = peers
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._retry_budget = retry_budget
        self._clock = clock
        self._next_at = 0.0
        # Start above the numbers that an earlier incarnation of this gateway used.
        self._sequence = int(clock.now() * 1000)
        self.handlers: Handlers = {
            GatewaysRead: self._on_gateways_read,
            GatewayLoads: self._on_gateway_loads,
            Dispatch: self._on_dispatch,
            Tick: self._on_tick,
        }

    def _on_gateways_read(self, msg: GatewaysRead) -> Iterator[Message]:
        before = self._peers.n_gateways
        self._peers.set_addresses(msg.addresses)
        self._peers.set_domains(msg.failure_domains)
        n_gateways = self._peers.n_gateways
        self._eligibility.n_gateways = n_gateways
        self._retry_budget.n_gateways = n_gateways
        if n_gateways != before:
            yield Decision("gateways", n_gateways=n_gateways, before=before)

    def _on_gateway_loads(self, msg: GatewayLoads) -> Iterator[Message]:
        self._peers.merge(msg)
        yield from ()

    def _on_dispatch(self, msg: Dispatch) -> Iterator[Message]:
        yield msg
        if not msg.is_stream:
            return
        # Other gateways choose within milliseconds; until they are told, they count
        # the endpoint's capacity as free.
        changed = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.name == msg.endpoint
            or endpoint.entry.address == msg.mirror_address
        ]
        yield from self._send_loads(changed, is_whole=False)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now < self._next_at:
            return
        slowdown = max(1.0, self._peers.n_gateways / FULL_RATE_GATEWAYS)
        self._next_at = msg.now + SHARE_INTERVAL_S * slowdown
        busy = [end for end in self._endpoints if end.n_own_running or end.own_tokens]
        yield from self._send_loads(busy, is_whole=True)

    def _send_loads(
        self, endpoints: Sequence[Endpoint], *, is_whole: bool
    ) -> Iterator[Message]:
        self._sequence += 1
        loads = [
            EndpointLoad(
                endpoint.name,
                endpoint.n_own_running,
                endpoint.own_tokens,
                endpoint.own_prefill_backlog,
                endpoint.own_prefill_rate,
            )
            for endpoint in endpoints
        ]
        for address in self._peers.addresses():
            yield GatewayLoads(self._name, self._sequence, loads, is_whole).with_peer(
                address
            )
