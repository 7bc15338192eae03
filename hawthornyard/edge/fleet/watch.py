"""Detect leaving engines while the store does not answer; notify other gateways."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, RandomSource, Tick
from ...frames import LeavingNotice
from ..directory import Directory
from ..endpoints import Endpoint, Endpoints
from ..messages import (
    EndpointLeaving,
    Origin,
    ReportRequested,
    StoreAnswered,
    StoreFailed,
)
from ..peers import Peers
from ..read_pace import ReadPace
from .deployment import OPERATOR_FEED
from .store import LONG_POLL_S

# A long poll that is overdue by this much counts as unanswered. That includes a slow
# store, which takes about 0.3 s to answer; a healthy one takes 4 ms.
OVERDUE_GRACE_S = 0.2
# Interval between polls of one engine by any gateway: an engine stops about 1.5 s
# after its notice, and copies take most of that.
ENGINE_POLL_INTERVAL_S = 0.15
# Bounds on the poll interval of one gateway.
MIN_POLL_INTERVAL_S = 0.25
MAX_POLL_INTERVAL_S = 1.0


class WatchEngines:
    """Filter that polls engines while the store does not answer.

    Engines announce in the store that they leave. Without the store a gateway would
    notice it only when the streams break, too late to copy them. The filter also
    notifies other gateways of engines that leave.

    Args:
        endpoints: Known endpoints.
        directory: Deployment in force; tells which endpoints are engines.
        peers: The other gateways.
        pace: Tells whether other gateways rely on this one's notifications.
        clock: Source of time.
        random_source: Source of randomness.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_directory",
        "_endpoints",
        "_is_watching",
        "_lost_feeds",
        "_next_at",
        "_pace",
        "_peers",
        "_random_source",
        "handlers",
    )

    def __init__(
        self,
        endpoints: Endpoints,
        directory: Directory,
        peers: Peers,
        pace: ReadPace,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._endpoints = endpoints
        self._directory = directory
        self._peers = peers
        self._pace = pace
        self._clock = clock
        self._random_source = random_source
        self._answered_at = clock.now()
        self._lost_feeds: set[str] = set()
        self._is_watching = False
        self._next_at = 0.0
        self.handlers: Handlers = {
            StoreAnswered: self._on_store_answered,
            StoreFailed: self._on_store_failed,
            EndpointLeaving: self._on_endpoint_leaving,
            Tick: self._on_tick,
        }

    def _on_store_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        self._lost_feeds.discard(msg.feed)
        if msg.feed == OPERATOR_FEED:
            self._answered_at = self._clock.now()
        yield msg

    def _on_store_failed(self, msg: StoreFailed) -> Iterator[Message]:
        self._lost_feeds.add(msg.feed)
        yield msg

    def _on_endpoint_leaving(self, msg: EndpointLeaving) -> Iterator[Message]:
        yield msg
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or not self._must_notify(msg.origin):
            return
        for address in self._peers.addresses():
            yield LeavingNotice(msg.endpoint, endpoint.entry.born).with_peer(address)

    def _must_notify(self, origin: Origin) -> bool:
        if origin is Origin.STORE:
            return self._pace.must_notify_peers
        return origin is Origin.ENDPOINT

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        is_silent = bool(self._lost_feeds) or self._is_overdue(msg.now)
        if is_silent != self._is_watching:
            self._is_watching = is_silent
            reason = "the store does not answer" if is_silent else "the store answers"
            yield Decision("engines_watched", reason=reason, is_watching=is_silent)
        if not is_silent or msg.now < self._next_at:
            return
        interval_s = ENGINE_POLL_INTERVAL_S * self._peers.n_gateways
        interval_s = min(MAX_POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, interval_s))
        # Jitter: gateways that notice at the same time must not poll in step.
        self._next_at = msg.now + interval_s * (0.5 + self._random_source.random())
        for endpoint in self._endpoints:
            if endpoint.leaving_since is None and self._can_report(endpoint):
                yield ReportRequested(
                    endpoint.name, endpoint.entry.address, endpoint.entry.born
                )

    def _is_overdue(self, now: float) -> bool:
        return now - self._answered_at > LONG_POLL_S + OVERDUE_GRACE_S

    def _can_report(self, endpoint: Endpoint) -> bool:
        rule = self._directory.service(endpoint.entry.service)
        return rule is not None and rule.engine is not None
