"""Hold what the gateway believes about the endpoints."""

from collections.abc import Iterator

from ...core import Clock
from ...frames import Heartbeat
from ...policy import EndpointView, PauseDetector
from ...records import Catalog, Service
from ..messages import Request
from .hosts import LeavingHosts
from .loaded import LoadedModels

MAX_MISSED_HEARTBEATS = 3
DEFAULT_HEARTBEAT_INTERVAL_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1
TOKEN_TIME_WINDOW_TOKENS = 5000


class Fleet:
    """Soft state about the endpoints, rebuilt from heartbeats.

    Args:
        catalog: Records in force.
        clock: Source of time.

    Attributes:
        heartbeat_interval_s: Seconds between the heartbeats of an endpoint.
        leaving_hosts: Hosts that the platform is about to reclaim.
        loaded_models: Models that the endpoints have ready.
    """

    __slots__ = (
        "_catalog",
        "_clock",
        "_heard_at",
        "_pause",
        "_serving",
        "_serving_revision",
        "_views",
        "heartbeat_interval_s",
        "leaving_hosts",
        "loaded_models",
    )

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock
        self._views: dict[str, EndpointView] = {}
        self._heard_at: dict[str, float] = {}
        self._serving: dict[str, list[EndpointView]] = {}
        self._serving_revision = 0
        self._pause = PauseDetector(clock)
        self.heartbeat_interval_s = DEFAULT_HEARTBEAT_INTERVAL_S
        self.leaving_hosts = LeavingHosts()
        self.loaded_models = LoadedModels()

    def on_heartbeat(self, beat: Heartbeat) -> None:
        """Take the state of an endpoint over."""
        endpoint = self._catalog.endpoint(beat.endpoint)
        if endpoint is None:
            return
        view = self._views.get(endpoint.name)
        if view is None:
            view = EndpointView(endpoint.name, endpoint.failure_domain)
            self._views[endpoint.name] = view
            self._serving.clear()
        view.failure_domain = endpoint.failure_domain
        view.incarnation = beat.incarnation
        view.revision = beat.revision
        view.accepting = beat.accepting
        view.n_running = beat.n_running
        view.n_waiting = beat.n_waiting
        view.limit = beat.limit
        view.load = beat.load
        view.n_unreported = 0
        self._heard_at[endpoint.name] = self._clock.now()

    def on_tick(self) -> None:
        """Note that the loop runs."""
        self._pause.on_tick()

    def on_down(self, endpoint: str) -> None:
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
        weight = SERVICE_TIME_SMOOTHING if view.service_s else 1.0
        view.service_s += weight * (seconds - view.service_s)
        if n_tokens:
            weight = (
                min(1.0, n_tokens / TOKEN_TIME_WINDOW_TOKENS) if view.token_s else 1.0
            )
            view.token_s += weight * (seconds / n_tokens - view.token_s)

    def incarnation(self, endpoint: str) -> str:
        """Return the last known incarnation of an endpoint's sidecar."""
        view = self._views.get(endpoint)
        return view.incarnation if view is not None else ""

    def candidates(self, request: Request) -> list[EndpointView]:
        """Return the endpoints that may be sent the request's next attempt."""
        eligible = list(self._eligible(request))
        untried = [view for view in eligible if view.endpoint not in request.excluded]
        return untried or eligible

    def has_capacity(self, request: Request) -> bool:
        """Return whether some endpoint can begin the request at once."""
        priority = request.service.priority
        return any(view.n_free(priority) for view in self.candidates(request))

    def has_endpoint(self, request: Request) -> bool:
        """Return whether any live endpoint fits the request."""
        return any(True for _ in self._eligible(request))

    def views(self) -> Iterator[EndpointView]:
        """Yield the view of every endpoint heard of lately."""
        for view in self._views.values():
            if self.is_live(view.endpoint):
                yield view

    def _eligible(self, request: Request) -> Iterator[EndpointView]:
        if self._pause.is_catching_up():
            return
        for view in self._views_serving(request.service, request.model):
            if not view.accepting or not self.is_live(view.endpoint):
                continue
            if self._is_leaving(view.endpoint):
                continue
            if self.loaded_models.serves(view.endpoint, request.model):
                yield view

    def _views_serving(self, service: Service, model: str) -> list[EndpointView]:
        if self._serving_revision != self._catalog.revision:
            self._serving_revision = self._catalog.revision
            self._serving.clear()
        key = f"{service.name}/{model}"
        views = self._serving.get(key)
        if views is None:
            views = self._serving[key] = [
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
        return endpoint is not None and self.leaving_hosts.includes(endpoint)

    def is_live(self, endpoint: str) -> bool:
        """Return whether an endpoint was heard of lately."""
        heard_at = self._heard_at.get(endpoint)
        if heard_at is None:
            return False
        timeout_s = MAX_MISSED_HEARTBEATS * self.heartbeat_interval_s
        return self._clock.now() - heard_at <= timeout_s
