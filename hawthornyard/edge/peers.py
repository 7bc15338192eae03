"""Hold what is known of the other gateways."""

from collections.abc import Iterator, Mapping

from ..core import Clock
from ..frames import EndpointLoad, GatewayLoads

# A gateway that was not heard for so long runs nothing that counts any longer.
SILENCE_S = 2.0
# With more gateways than this each tells its load less often, so that the number
# of datagrams grows with their number and not with its square.
FEW_GATEWAYS = 8
# Among many, so many read the changes of endpoints often; one may be cut off and
# another killed.
N_READERS = 3


class _Peer:
    __slots__ = ("heard_at", "loads", "sequence")

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.sequence = -1
        self.loads: dict[str, EndpointLoad] = {}


class Peers:
    """The other gateways, their addresses and what they run.

    Args:
        name: Name of this gateway.
        clock: Source of time.
    """

    __slots__ = ("_addresses", "_clock", "_heard", "_name")

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._addresses: dict[str, str] = {}
        self._heard: dict[str, _Peer] = {}

    @property
    def n_gateways(self) -> int:
        """Return the number of gateways, this one included."""
        return 1 + len(self._addresses)

    @property
    def are_many(self) -> bool:
        """Return whether work is divided because gateways are many."""
        return self.n_gateways > FEW_GATEWAYS

    @property
    def is_reader(self) -> bool:
        """Return whether this gateway is among the first that are heard of."""
        live = [name for name, peer in self._heard.items() if self._is_live(peer)]
        return sum(name < self._name for name in live) < N_READERS

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the known gateways."""
        self._addresses = {
            name: address for name, address in addresses.items() if name != self._name
        }
        for name in list(self._heard):
            if name not in self._addresses:
                del self._heard[name]

    def addresses(self) -> Iterator[str]:
        """Yield the addresses of the other gateways."""
        yield from self._addresses.values()

    def take(self, report: GatewayLoads) -> None:
        """Take over what a gateway runs, unless a newer report is known."""
        if report.name not in self._addresses:
            return
        peer = self._heard.setdefault(report.name, _Peer())
        if report.sequence <= peer.sequence and self._is_live(peer):
            return
        peer.sequence = report.sequence
        peer.heard_at = self._clock.now()
        loads = {load.endpoint: load for load in report.loads}
        peer.loads = loads if report.is_complete else {**peer.loads, **loads}

    def n_running(self, endpoint: str) -> int:
        """Return the requests that other gateways run at an endpoint."""
        return sum(load.n_running for load in self._loads(endpoint))

    def n_tokens(self, endpoint: str) -> int:
        """Return the tokens that other gateways need at an endpoint."""
        return sum(load.n_tokens for load in self._loads(endpoint))

    def n_unread(self, endpoint: str) -> int:
        """Return the prompt tokens of other gateways that it has yet to read."""
        return sum(load.n_prefill_tokens for load in self._loads(endpoint))

    def prefill_rate(self, endpoint: str) -> float:
        """Return the mean of the rates that others have seen, 0 if unknown."""
        rates = [load.prefill_tokens_per_s for load in self._loads(endpoint)]
        known = [rate for rate in rates if rate]
        return sum(known) / len(known) if known else 0.0

    def _loads(self, endpoint: str) -> Iterator[EndpointLoad]:
        for peer in self._heard.values():
            load = peer.loads.get(endpoint)
            if load is not None and self._is_live(peer):
                yield load

    def _is_live(self, peer: _Peer) -> bool:
        return self._clock.now() - peer.heard_at < SILENCE_S
