"""Track the other gateways and their loads."""

from collections.abc import Iterator, Mapping, Sequence

from ..core import Clock
from ..frames import EndpointLoad, GatewayLoads
from ..policy import rank_owners

# The loads of a gateway without a report for this long are ignored.
PEER_TIMEOUT_S = 2.0
# With more gateways than this, each reports its loads less often, so that the number
# of datagrams grows linearly with the number of gateways and not with its square.
FULL_RATE_GATEWAYS = 8
# Gateways that read endpoint changes often when gateways are many: two are spare, as
# one may be partitioned and another killed.
N_FEED_READERS = 3


class _Peer:
    """Newest load report of one gateway.

    Attributes:
        heard_at: Monotonic time of the newest report in seconds.
        loads: Newest load on each endpoint.
        prefill_since: Monotonic time in seconds since which it has reported the same
            prompt tokens at each endpoint.
        sequence: Number of the newest report.
    """

    __slots__ = ("heard_at", "loads", "prefill_since", "sequence")

    def __init__(self) -> None:
        self.heard_at = 0.0
        self.sequence = -1
        self.loads: dict[str, EndpointLoad] = {}
        self.prefill_since: dict[str, float] = {}


class Peers:
    """The other gateways, their addresses and their loads.

    Args:
        name: Name of this gateway.
        clock: Source of time.
    """

    __slots__ = ("_addresses", "_by_name", "_clock", "_domains", "_name")

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._addresses: dict[str, str] = {}
        self._by_name: dict[str, _Peer] = {}
        self._domains: dict[str, str] = {}

    @property
    def n_gateways(self) -> int:
        """Return the number of gateways, this one included."""
        return 1 + len(self._addresses)

    @property
    def are_many(self) -> bool:
        """Return whether gateways are too many for all to read and report often."""
        return self.n_gateways > FULL_RATE_GATEWAYS

    @property
    def is_feed_reader(self) -> bool:
        """Return whether this gateway reads endpoint changes often.

        The first `N_FEED_READERS` live gateways by name do.
        """
        live = [name for name, peer in self._by_name.items() if self._is_live(peer)]
        return sum(name < self._name for name in live) < N_FEED_READERS

    @property
    def has_neighbour(self) -> bool:
        """Return whether another gateway is in the failure domain of this one."""
        own = self._domains.get(self._name)
        return bool(own) and any(
            self._domains.get(name) == own for name in self._addresses
        )

    def set_domains(self, failure_domains: Mapping[str, str]) -> None:
        """Set the failure domains of all gateways that are known, by name."""
        self._domains = dict(failure_domains)

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the addresses, and forget gateways that have none and are silent.

        The store may have lost the address of a gateway that goes on.
        """
        live = {
            name: address
            for name, address in self._addresses.items()
            if name in self._by_name and self._is_live(self._by_name[name])
        }
        self._addresses = {**live, **addresses}
        self._addresses.pop(self._name, None)
        for name in list(self._by_name):
            if name not in self._addresses:
                del self._by_name[name]

    def is_owner(self, key: str) -> bool:
        """Return whether this gateway owns a key among the live gateways."""
        live = [name for name, peer in self._by_name.items() if self._is_live(peer)]
        return rank_owners(key, [*live, self._name])[0] == self._name

    def is_known(self, name: str) -> bool:
        """Return whether a gateway of this name has an address."""
        return name in self._addresses

    def address(self, name: str) -> str | None:
        """Return the address of another gateway, None if it has none."""
        return self._addresses.get(name)

    def divisible_share(self) -> float:
        """Return the share of a common limit that the gateways heard from may use.

        Most of the gateways take the others for dead and use the whole limit; half or
        fewer may be cut off from the others and use their own part.
        """
        n_live = 1 + sum(self._is_live(peer) for peer in self._by_name.values())
        return 1.0 if 2 * n_live > self.n_gateways else n_live / self.n_gateways

    def names(self) -> Sequence[str]:
        """Return the names of the other gateways."""
        return list(self._addresses)

    def addresses(self) -> Iterator[str]:
        """Yield the addresses of the other gateways."""
        yield from self._addresses.values()

    def merge(self, report: GatewayLoads) -> None:
        """Merge a gateway's load report, unless a newer one is known.

        Reports of gateways without an address are ignored. After `PEER_TIMEOUT_S`
        without a report, any sequence number is accepted.
        """
        if report.name not in self._addresses:
            return
        peer = self._by_name.setdefault(report.name, _Peer())
        if report.sequence <= peer.sequence and self._is_live(peer):
            return
        peer.sequence = report.sequence
        peer.heard_at = self._clock.now()
        loads = {load.endpoint: load for load in report.loads}
        since = {name: self._prefill_since(peer, load) for name, load in loads.items()}
        if not report.is_complete:
            loads = {**peer.loads, **loads}
            since = {**peer.prefill_since, **since}
        peer.loads = loads
        peer.prefill_since = since

    def n_running(self, endpoint: str) -> int:
        """Return how many requests other gateways run at an endpoint."""
        return sum(load.n_running for load in self._loads(endpoint))

    def n_tokens(self, endpoint: str) -> int:
        """Return how many tokens other gateways need at an endpoint."""
        return sum(load.n_tokens for load in self._loads(endpoint))

    def prefill_backlog(self, endpoint: str) -> int:
        """Return other gateways' prompt tokens that await prefill at an endpoint."""
        return sum(load.n_prefill_tokens for load in self._loads(endpoint))

    def prefill_reports(self, endpoint: str) -> Iterator[tuple[int, float]]:
        """Yield what each other gateway reported of its prompts at an endpoint.

        Yields:
            Prompt tokens that awaited prefill, and the seconds since which it has
            reported this number.
        """
        now = self._clock.now()
        for peer in self._by_name.values():
            load = peer.loads.get(endpoint)
            if load is not None and load.n_prefill_tokens and self._is_live(peer):
                yield load.n_prefill_tokens, now - peer.prefill_since[endpoint]

    def prefill_rate(self, endpoint: str) -> float:
        """Return other gateways' mean prefill rate in tokens/s, 0 if unknown."""
        rates = [load.prefill_tokens_per_s for load in self._loads(endpoint)]
        known = [rate for rate in rates if rate]
        return sum(known) / len(known) if known else 0.0

    def _loads(self, endpoint: str) -> Iterator[EndpointLoad]:
        for peer in self._by_name.values():
            load = peer.loads.get(endpoint)
            if load is not None and self._is_live(peer):
                yield load

    def _prefill_since(self, peer: _Peer, load: EndpointLoad) -> float:
        before = peer.loads.get(load.endpoint)
        if before is None or before.n_prefill_tokens != load.n_prefill_tokens:
            return peer.heard_at
        return peer.prefill_since[load.endpoint]

    def _is_live(self, peer: _Peer) -> bool:
        return self._clock.now() - peer.heard_at < PEER_TIMEOUT_S
