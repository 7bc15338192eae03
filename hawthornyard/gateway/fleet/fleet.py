"""Hold what the gateway believes about the endpoints."""

from collections.abc import Iterator

from ...core import Clock
from ...frames import Heartbeat
from ...policy import EndpointView, PauseDetector
from ...records import Catalog, Service
from ..messages import Request
from .hosts import LeavingHosts
from .loaded import LoadedModels

MISSED_HEARTBEATS = 3
DEFAULT_INTERVAL_S = 1.0
SERVICE_TIME_WEIGHT = 0.1
TOKEN_TIME_MEMORY = 5000


class Fleet:
    """Soft state about the endpoints, rebuilt from heartbeats.

    Args:
        catalog: Records in force.
        clock: Source of time.

    Attributes:
        heartbeat_interval_s: Seconds between the heartbeats of an endpoint.
        leaving: Hosts that the platform is about to reclaim.
        loaded: Models that the endpoints have ready.
    """

    __slots__ = (
        "_catalog",
        "_clock",
        "_heard_at",
        "_offers",
        "_offers_at",
        "_pause",
        "_views",
        "heartbeat_interval_s",
        "leaving",
        "loaded",
    )

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock
        self._views: dict[str, EndpointView] = {}
        self._heard_at: dict[str, float] = {}
        self._offers: dict[str, list[EndpointView]] = {}
        self._offers_at = 0
        self._pause = PauseDetector(clock)
        self.heartbeat_interval_s = DEFAULT_INTERVAL_S
        self.leaving = LeavingHosts()
        self.loaded = LoadedModels()

    def on_heartbeat(self, beat: Heartbeat) -> None:
        """Take the state of an endpoint over."""
        endpoint = self._catalog.endpoint(beat.endpoint)
        if endpoint is None:
            return
        view = self._views.get(endpoint.name)
        if view is None:
            view = EndpointView(endpoint.name, endpoint.failure_domain)
            self._views[endpoint.name] = view
            self._offers.clear()
        view.failure_domain = endpoint.failure_domain
        view.incarnation = beat.incarnation
        view.revision = beat.revision
        view.accepting = beat.is_accepting
        view.n_running = beat.n_running
        view.n_waiting = beat.n_waiting
        view.limit = beat.limit
        view.load = beat.load
        view.n_unreported = 0
        self._heard_at[endpoint.name] = self._clock.now()

    def on_tick(self) -> None:
        """Note that the loop runs."""
        self._pause.on_tick()

    def on_lost(self, endpoint: str) -> None:
        """Stop routing to an endpoint whose connection is lost."""
        self._heard_at.pop(endpoint, None)

    def on_dispatched(self, endpoint: str) -> None:
        """Count an attempt that no heartbeat has reported yet."""
        view = self._views.get(endpoint)
        if view is not None:
            view.n_unreported += 1

    def on_ended(self, endpoint: str) -> None:
        """Count an attempt as ended that the last heartbeat may still hold."""
        view = self._views.get(endpoint)
        if view is not None:
            view.n_unreported -= 1

    def on_finished(self, endpoint: str, seconds: float, n_tokens: int = 0) -> None:
        """Learn how long an attempt and its tokens took at an endpoint."""
        view = self._views.get(endpoint)
        if view is None:
            return
        weight = SERVICE_TIME_WEIGHT if view.service_s else 1.0
        view.service_s += weight * (seconds - view.service_s)
        if n_tokens:
            weight = min(1.0, n_tokens / TOKEN_TIME_MEMORY) if view.s_per_token else 1.0
            view.s_per_token += weight * (seconds / n_tokens - view.s_per_token)

    def incarnation(self, endpoint: str) -> str:
        """Return the last known incarnation of an endpoint's sidecar."""
        view = self._views.get(endpoint)
        return view.incarnation if view is not None else ""

    def candidates(self, request: Request) -> list[EndpointView]:
        """Return the endpoints that may be sent the request's next attempt."""
        fitting = list(self._fitting(request))
        fresh = [view for view in fitting if view.endpoint not in request.excluded]
        return fresh or fitting

    def has_room(self, request: Request) -> bool:
        """Return whether some endpoint can begin the request at once."""
        priority = request.service.priority
        return any(view.n_free(priority) for view in self.candidates(request))

    def has_any(self, request: Request) -> bool:
        """Return whether any live endpoint fits the request."""
        return any(True for _ in self._fitting(request))

    def views(self) -> Iterator[EndpointView]:
        """Yield the view of every endpoint heard of lately."""
        for view in self._views.values():
            if self.is_live(view.endpoint):
                yield view

    def _fitting(self, request: Request) -> Iterator[EndpointView]:
        if self._pause.is_catching_up():
            return
        for view in self._offering(request.service, request.model):
            if not view.accepting or not self.is_live(view.endpoint):
                continue
            if self._is_leaving(view.endpoint):
                continue
            if self.loaded.serves(view.endpoint, request.model):
                yield view

    def _offering(self, service: Service, model: str) -> list[EndpointView]:
        if self._offers_at != self._catalog.revision:
            self._offers_at = self._catalog.revision
            self._offers.clear()
        offer = f"{service.name}/{model}"
        views = self._offers.get(offer)
        if views is None:
            views = self._offers[offer] = [
                view
                for view in self._views.values()
                if self._serves(view.endpoint, service, model)
            ]
        return views

    def _serves(self, name: str, service: Service, model: str) -> bool:
        endpoint = self._catalog.endpoint(name)
        if endpoint is None or not self._catalog.in_service(endpoint):
            return False
        return endpoint.serves(service, model)

    def _is_leaving(self, name: str) -> bool:
        endpoint = self._catalog.endpoint(name)
        return endpoint is not None and self.leaving.holds(endpoint)

    def is_live(self, endpoint: str) -> bool:
        """Return whether an endpoint was heard of lately."""
        heard_at = self._heard_at.get(endpoint)
        if heard_at is None:
            return False
        bound_s = MISSED_HEARTBEATS * self.heartbeat_interval_s
        return self._clock.now() - heard_at <= bound_s
