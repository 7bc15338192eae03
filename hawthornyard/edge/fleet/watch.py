"""Ask engines whether they leave while the store can't tell; tell other gateways."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, RandomSource, Tick
from ...frames import LeavingNotice
from ..directory import Directory
from ..endpoints import Endpoint, Endpoints
from ..messages import (
    EndpointLeaving,
    Origin,
    ReportAsked,
    StoreAnswered,
    StoreFailed,
)
from ..pace import ReadPace
from ..peers import Peers
from .deployment import OPERATOR_FEED
from .store import ANSWER_INTERVAL_S

# A call for changes that is overdue by so long counts as unanswered, as does one of
# a slow store, which takes some 0.3 s; a sound one takes 4 ms.
OVERDUE_S = 0.2
# All gateways together ask an engine this often: it leaves some 1.5 s after its
# notice, and copies take most of that.
COMMON_INTERVAL_S = 0.15
# One gateway asks no more often than this, and no less often.
MIN_INTERVAL_S = 0.25
MAX_INTERVAL_S = 1.0


class WatchEngines:
    """Ask engines for reports while the store is silent, and tell other gateways.

    Engines announce in the store that they leave. Without it a gateway would learn
    that one has left when its streams break off, too late to copy them.

    Args:
        endpoints: Known endpoints.
        directory: Tells which endpoints are engines.
        peers: The other gateways.
        pace: Tells whether others wait for what is read here.
        clock: Source of time.
        chance: Source of randomness.
    """

    __slots__ = (
        "_answered_at",
        "_chance",
        "_clock",
        "_directory",
        "_endpoints",
        "_is_watching",
        "_lost",
        "_next_at",
        "_pace",
        "_peers",
        "handlers",
    )

    def __init__(
        self,
        endpoints: Endpoints,
        directory: Directory,
        peers: Peers,
        pace: ReadPace,
        clock: Clock,
        chance: RandomSource,
    ) -> None:
        self._endpoints = endpoints
        self._directory = directory
        self._peers = peers
        self._pace = pace
        self._clock = clock
        self._chance = chance
        self._answered_at = clock.now()
        self._lost: set[str] = set()
        self._is_watching = False
        self._next_at = 0.0
        self.handlers: Handlers = {
            StoreAnswered: self._on_answered,
            StoreFailed: self._on_failed,
            EndpointLeaving: self._on_leaving,
            Tick: self._on_tick,
        }

    def _on_answered(self, msg: StoreAnswered) -> Iterator[Message]:
        self._lost.discard(msg.feed)
        if msg.feed == OPERATOR_FEED:
            self._answered_at = self._clock.now()
        yield msg

    def _on_failed(self, msg: StoreFailed) -> Iterator[Message]:
        self._lost.add(msg.feed)
        yield msg

    def _on_leaving(self, msg: EndpointLeaving) -> Iterator[Message]:
        yield msg
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or not self._is_news_to_others(msg.origin):
            return
        for address in self._peers.addresses():
            yield LeavingNotice(msg.endpoint, endpoint.entry.born).with_peer(address)

    def _is_news_to_others(self, origin: Origin) -> bool:
        if origin is Origin.STORE:
            return self._pace.must_tell
        return origin is Origin.ENDPOINT

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        is_silent = bool(self._lost) or self._is_overdue(msg.now)
        if is_silent != self._is_watching:
            self._is_watching = is_silent
            reason = "the store is silent" if is_silent else "the store answers"
            yield Decision("engines_watched", reason=reason, is_watching=is_silent)
        if not is_silent or msg.now < self._next_at:
            return
        interval_s = COMMON_INTERVAL_S * self._peers.n_gateways
        interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s))
        # Gateways that notice together must not ask in step.
        self._next_at = msg.now + interval_s * (0.5 + self._chance.random())
        for endpoint in self._endpoints:
            if endpoint.leaving_since is None and self._can_report(endpoint):
                yield ReportAsked(endpoint.name, endpoint.entry.address)

    def _is_overdue(self, now: float) -> bool:
        return now - self._answered_at > ANSWER_INTERVAL_S + OVERDUE_S

    def _can_report(self, endpoint: Endpoint) -> bool:
        rule = self._directory.service(endpoint.entry.service)
        return rule is not None and rule.engine is not None
