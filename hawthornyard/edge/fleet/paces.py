"""Share the paces that endpoints report with the other gateways."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message
from ...frames import EndpointPace
from ...policy import TokenBucket
from ..endpoints import Endpoint, Endpoints
from ..messages import PaceRead
from ..pace import MAX_PACE_AGE_S
from ..peers import Peers

# Largest size of such a datagram, without its two names: 38 bytes of the frame, with
# names of up to 255 characters, and 28 of the IP and UDP headers.
DATAGRAM_BYTES = 66
# Share of the 2 KB a second that a gateway may use for control: the rest is for loads.
BYTES_PER_S = 1000.0
# News may reach 45 gateways at once.
BURST_S = 6.0
# Increase of the factor that is told: work takes a quarter longer than the others know.
NEWS_RATIO = 1.25


class SharePaces:
    """Filter that tells the other gateways which endpoints have become slow.

    Only slowness is told: a figure that is not repeated is over after
    `MAX_PACE_AGE_S`. What the rate of bytes does not cover is not told; each round goes
    on with the gateways that the one before it did not reach.

    Args:
        name: Name of the gateway.
        peers: The other gateways.
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = (
        "_bucket",
        "_clock",
        "_endpoints",
        "_n_told",
        "_name",
        "_peers",
        "_told",
        "handlers",
    )

    def __init__(
        self, name: str, peers: Peers, endpoints: Endpoints, clock: Clock
    ) -> None:
        self._name = name
        self._peers = peers
        self._endpoints = endpoints
        self._clock = clock
        self._bucket = TokenBucket(BYTES_PER_S, clock, burst_s=BURST_S)
        self._n_told = 0
        # Factor that all know and the time of the news, by endpoint.
        self._told: dict[str, tuple[float, float]] = {}
        self.handlers: Handlers = {
            PaceRead: self._on_pace_read,
            EndpointPace: self._on_endpoint_pace,
        }

    def _on_pace_read(self, msg: PaceRead) -> Iterator[Message]:
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or not self._is_news(endpoint):
            return
        self._note_told(endpoint)
        addresses = list(self._peers.addresses())
        n_bytes = DATAGRAM_BYTES + len(self._name) + len(endpoint.name)
        for _ in addresses:
            if not self._bucket.take(n_bytes):
                return
            address = addresses[self._n_told % len(addresses)]
            self._n_told += 1
            yield EndpointPace(
                self._name,
                endpoint.name,
                endpoint.entry.born,
                endpoint.pace.factor,
                endpoint.pace.age_s,
            ).with_peer(address)

    def _on_endpoint_pace(self, msg: EndpointPace) -> Iterator[Message]:
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or endpoint.entry.born != msg.started_at:
            return
        if not self._peers.is_known(msg.gateway) or msg.age_s < 0:
            return
        read_at = self._clock.now() - msg.age_s
        if endpoint.pace.learn(msg.factor, read_at, is_own=False):
            self._endpoints.paced_services.add(endpoint.entry.service)
            self._note_told(endpoint)
        yield from ()

    def _is_news(self, endpoint: Endpoint) -> bool:
        factor, told_at = self._told.get(endpoint.name, (1.0, float("-inf")))
        if self._clock.now() - told_at > MAX_PACE_AGE_S:
            factor = endpoint.pace.mean_factor
        return endpoint.pace.factor > factor * NEWS_RATIO

    def _note_told(self, endpoint: Endpoint) -> None:
        now = self._clock.now()
        self._told[endpoint.name] = (endpoint.pace.factor, now - endpoint.pace.age_s)
        for name in [name for name in self._told if self._endpoints.get(name) is None]:
            del self._told[name]
