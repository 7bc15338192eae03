"""Tell the other gateways what this one runs, and learn what they run."""

from collections.abc import Iterator, Sequence

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import EndpointLoad, GatewayLoads
from ..eligible import Eligible
from ..endpoints import Endpoint, Endpoints
from ..messages import Dispatch, GatewaysRead
from ..peers import FEW_GATEWAYS, Peers
from ..repeats import RepeatBudget

# A quarter of the time that a prompt takes to be read; older loads mislead.
SHARE_INTERVAL_S = 0.2


class ShareLoads:
    """Exchange loads, and divide what all gateways together may do.

    Args:
        name: Name of this gateway.
        peers: The other gateways.
        endpoints: Known endpoints.
        eligible: Told among how many gateways cold endpoints are divided.
        repeats: Told among how many gateways repeats are divided.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_eligible",
        "_endpoints",
        "_name",
        "_next_at",
        "_peers",
        "_repeats",
        "_sequence",
        "handlers",
    )

    def __init__(
        self,
        name: str,
        peers: Peers,
        endpoints: Endpoints,
        eligible: Eligible,
        repeats: RepeatBudget,
        clock: Clock,
    ) -> None:
        self._name = name
        self._peers = peers
        self._endpoints = endpoints
        self._eligible = eligible
        self._repeats = repeats
        self._clock = clock
        self._next_at = 0.0
        # Larger than what an earlier incarnation used.
        self._sequence = int(clock.now() * 1000)
        self.handlers: Handlers = {
            GatewaysRead: self._on_gateways,
            GatewayLoads: self._on_loads,
            Dispatch: self._on_dispatch,
            Tick: self._on_tick,
        }

    def _on_gateways(self, msg: GatewaysRead) -> Iterator[Message]:
        before = self._peers.n_gateways
        self._peers.set_addresses(msg.addresses)
        n_gateways = self._peers.n_gateways
        self._eligible.n_gateways = n_gateways
        self._repeats.n_gateways = n_gateways
        if n_gateways != before:
            yield Decision("gateways", n_gateways=n_gateways, before=before)

    def _on_loads(self, msg: GatewayLoads) -> Iterator[Message]:
        self._peers.take(msg)
        yield from ()

    def _on_dispatch(self, msg: Dispatch) -> Iterator[Message]:
        yield msg
        if not msg.is_stream:
            return
        # Others choose within milliseconds; until they hear they take it for free.
        changed = [
            endpoint
            for endpoint in self._endpoints
            if endpoint.name == msg.endpoint
            or endpoint.entry.address == msg.backup_address
        ]
        yield from self._tell(changed, is_whole=False)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if msg.now < self._next_at:
            return
        n_shares = max(1.0, self._peers.n_gateways / FEW_GATEWAYS)
        self._next_at = msg.now + SHARE_INTERVAL_S * n_shares
        busy = [end for end in self._endpoints if end.n_own or end.own_tokens]
        yield from self._tell(busy, is_whole=True)

    def _tell(
        self, endpoints: Sequence[Endpoint], *, is_whole: bool
    ) -> Iterator[Message]:
        self._sequence += 1
        loads = [
            EndpointLoad(
                endpoint.name,
                endpoint.n_own,
                endpoint.own_tokens,
                endpoint.own_unread,
                endpoint.own_prefill_rate,
            )
            for endpoint in endpoints
        ]
        for address in self._peers.addresses():
            yield GatewayLoads(self._name, self._sequence, loads, is_whole).with_peer(
                address
            )
