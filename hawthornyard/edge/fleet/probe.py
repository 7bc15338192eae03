"""Probe the pace of endpoints from which no response came recently."""

from collections.abc import Iterator

from ...core import Clock, Handlers, Message, Tick
from ...policy import TokenBucket
from ..directory import Directory
from ..endpoints import Endpoint, Endpoints
from ..messages import ProbeRequested
from ..peers import PEER_TIMEOUT_S, Peers

# Age of a figure from which on the endpoint is probed: less than half a slow spell of
# 0.6 s, so that most of it is known.
PROBE_AFTER_S = 0.25
# Longest interval between probes of an endpoint that answers none.
MAX_PROBE_INTERVAL_S = 5.0
# Probes of one gateway; each takes some 2 ms of a core, so that they stay under 2% of
# one core.
PROBES_PER_S = 8.0
PROBE_BURST_S = 0.5
# Gateways that are rated in one tick to tell which of them probes an endpoint; 8,000 a
# second take some 1% of a core.
RATINGS_PER_TICK = 400


class _Probe:
    """The newest probe of an endpoint.

    Attributes:
        at: Monotonic time in seconds.
        interval_s: Seconds until the next one if it brings no figure.
    """

    __slots__ = ("at", "interval_s")

    def __init__(self, at: float, interval_s: float) -> None:
        self.at = at
        self.interval_s = interval_s


class ProbePaces:
    """Filter that requests probes of the endpoints that this gateway owns.

    Only endpoints that run something are probed: a slow machine harms running streams
    most, and an idle deployment costs no probes. Ownership is rated anew once
    `PEER_TIMEOUT_S` has passed, a few endpoints in each tick.

    Args:
        endpoints: Known endpoints.
        directory: Deployment in force, for the health paths.
        peers: The other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_bucket",
        "_directory",
        "_endpoints",
        "_last",
        "_owned",
        "_peers",
        "_rated_at",
        "handlers",
    )

    def __init__(
        self, endpoints: Endpoints, directory: Directory, peers: Peers, clock: Clock
    ) -> None:
        self._endpoints = endpoints
        self._directory = directory
        self._peers = peers
        self._bucket = TokenBucket(PROBES_PER_S, clock, burst_s=PROBE_BURST_S)
        self._owned: set[str] = set()
        self._rated_at: dict[str, float] = {}
        self._last: dict[str, _Probe] = {}
        self.handlers: Handlers = {Tick: self._on_tick}

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        if not self._endpoints.paced_services:
            return
        self._rate_owners(msg.now)
        for name in sorted(self._owned, key=self._probed_at):
            endpoint = self._endpoints.get(name)
            if endpoint is None:
                self._owned.discard(name)
                self._last.pop(name, None)
            elif self._is_due(endpoint, msg.now):
                yield from self._probe(endpoint, msg.now)

    def _probed_at(self, name: str) -> float:
        last = self._last.get(name)
        return last.at if last is not None else 0.0

    def _rate_owners(self, now: float) -> None:
        for name in [name for name in self._rated_at if not self._endpoints.get(name)]:
            del self._rated_at[name]
        due = [
            endpoint.name
            for endpoint in self._endpoints
            if endpoint.entry.service in self._endpoints.paced_services
            and now - self._rated_at.get(endpoint.name, 0.0) >= PEER_TIMEOUT_S
        ]
        due.sort(key=lambda name: self._rated_at.get(name, 0.0))
        for name in due[: max(1, RATINGS_PER_TICK // self._peers.n_gateways)]:
            self._rated_at[name] = now
            if self._peers.is_owner(f"pace/{name}"):
                self._owned.add(name)
            else:
                self._owned.discard(name)

    def _is_due(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.leaving_since is not None or endpoint.pace.age_s < PROBE_AFTER_S:
            return False
        # A probe takes a slot, as a request does.
        if endpoint.allowance.pause.is_in_force:
            return False
        last = self._last.get(endpoint.name)
        if last is not None and now < last.at + self._interval_s(endpoint, last, now):
            return False
        return endpoint.n_running > 0

    def _interval_s(self, endpoint: Endpoint, last: "_Probe", now: float) -> float:
        # Ask less and less often where probes bring no figure.
        is_answered = endpoint.pace.age_s <= now - last.at
        return PROBE_AFTER_S if is_answered else last.interval_s

    def _probe(self, endpoint: Endpoint, now: float) -> Iterator[Message]:
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or not rule.health_path or not self._bucket.take():
            return
        last = self._last.get(endpoint.name)
        before_s = self._interval_s(endpoint, last, now) if last else PROBE_AFTER_S
        self._last[endpoint.name] = _Probe(now, min(2 * before_s, MAX_PROBE_INTERVAL_S))
        entry = endpoint.entry
        yield ProbeRequested(entry.name, entry.address, rule.health_path, entry.born)
