"""Share the limits that endpoints name with the other gateways."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import EndpointLimit
from ..endpoints import Endpoint, Endpoints
from ..messages import Dispatch, LimitChanged
from ..peers import Peers


class ShareLimits:
    """Filter that tells the other gateways what this one sends to limited endpoints.

    Each request to such an endpoint is told at once: no gateway has a part of its own,
    and the endpoint takes few, so there are few to tell.

    Args:
        name: Name of the gateway.
        peers: The other gateways.
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_endpoints", "_name", "_peers", "handlers")

    def __init__(
        self, name: str, peers: Peers, endpoints: Endpoints, clock: Clock
    ) -> None:
        self._name = name
        self._peers = peers
        self._endpoints = endpoints
        self._clock = clock
        self.handlers: Handlers = {
            Dispatch: self._on_dispatch,
            EndpointLimit: self._on_endpoint_limit,
            LimitChanged: self._on_limit_changed,
            Tick: self._on_tick,
        }

    def _on_dispatch(self, msg: Dispatch) -> Iterator[Message]:
        yield msg
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is not None and endpoint.allowance.limit.per_s is not None:
            yield from self._tell(endpoint)

    def _on_limit_changed(self, msg: LimitChanged) -> Iterator[Message]:
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is not None:
            yield from self._tell(endpoint)

    def _tell(self, endpoint: Endpoint) -> Iterator[Message]:
        limit = endpoint.allowance.limit
        now = self._clock.now()
        for address in self._peers.addresses():
            yield EndpointLimit(
                self._name,
                endpoint.name,
                endpoint.entry.born,
                limit.n_sent,
                limit.per_s is not None,
                limit.per_s or 0.0,
                now - limit.asked_at,
                now - limit.heard_at,
            ).with_peer(address)

    def _on_endpoint_limit(self, msg: EndpointLimit) -> Iterator[Message]:
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or endpoint.entry.born != msg.started_at:
            return
        if not self._peers.is_known(msg.gateway):
            return
        limit = endpoint.allowance.limit
        before = limit.per_s
        now = self._clock.now()
        per_s = max(0.0, msg.per_s) if msg.is_limited else None
        asked_at = now - max(0.0, msg.asked_age_s)
        if limit.learn(per_s, asked_at, now - max(0.0, msg.heard_age_s)):
            yield Decision(
                "endpoint_limit",
                reason="named to another gateway",
                endpoint=endpoint.name,
                per_s=per_s,
                before=before,
                age_s=round(msg.asked_age_s, 3),
            )
        limit.note_sends_of(msg.gateway, msg.n_sent)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        limits = [endpoint.allowance.limit for endpoint in self._endpoints]
        in_force = [limit for limit in limits if limit.per_s is not None]
        if not in_force:
            return
        share = self._peers.divisible_share()
        for limit in in_force:
            limit.set_share(share)
