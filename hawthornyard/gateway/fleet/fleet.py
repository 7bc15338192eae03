"""Keep the gateway's view of the endpoints."""

from collections.abc import Iterator

from ...core import Clock
from ...frames import Heartbeat
from ...policy import EndpointView, PauseDetector
from ...records import Catalog, Service
from ..messages import Request
from .hosts import LeavingHosts
from .loaded_models import LoadedModels

MAX_MISSED_HEARTBEATS = 3
DEFAULT_HEARTBEAT_INTERVAL_S = 1.0
# Weight of a new sample in the moving average of the time per attempt.
SERVICE_TIME_SMOOTHING = 0.1
# An attempt with n output tokens has the weight n / TOKEN_TIME_WINDOW_TOKENS, at most
# 1, in the moving average of the time per token.
TOKEN_TIME_WINDOW_TOKENS = 5000


class Fleet:
    """Soft state of the endpoints, rebuilt from heartbeats after a restart.

    Args:
        catalog: Records in force.
        clock: Monotonic clock.

    Attributes:
        heartbeat_interval_s: Seconds between the heartbeats of an endpoint.
        leaving_hosts: Hosts that the platform is about to reclaim.
        loaded_models: Models that the endpoints have loaded.
    """

    __slots__ = (
        "_catalog",
        "_clock",
        "_heard_at",
        "_pause_detector",
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
        self._pause_detector = PauseDetector(clock)
        self.heartbeat_interval_s = DEFAULT_HEARTBEAT_INTERVAL_S
        self.leaving_hosts = LeavingHosts()
        self.loaded_models = LoadedModels()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update an endpoint's state; ignore endpoints without a record."""
        endpoint = self._catalog.endpoint(heartbeat.endpoint)
        if endpoint is None:
            return
        view = self._views.get(endpoint.name)
        if view is None:
            view = EndpointView(endpoint.name, endpoint.failure_domain)
            self._views[endpoint.name] = view
            self._serving.clear()
        view.failure_domain = endpoint.failure_domain
        view.incarnation = heartbeat.incarnation
        view.revision = heartbeat.revision
        view.accepting = heartbeat.is_accepting
        view.n_running = heartbeat.n_running
        view.n_waiting = heartbeat.n_waiting
        view.limit = heartbeat.limit
        view.load = heartbeat.load
        view.n_unreported = 0
        self._heard_at[endpoint.name] = self._clock.now()

    def on_tick(self) -> None:
        """Report a tick to the detector of process pauses."""
        self._pause_detector.on_tick()

    def on_down(self, endpoint: str) -> None:
        """Stop routing to a disconnected endpoint."""
        self._heard_at.pop(endpoint, None)

    def on_dispatched(self, endpoint: str) -> None:
        """Count a dispatched attempt that no heartbeat has reported yet."""
        view = self._views.get(endpoint)
        if view is not None:
            view.n_unreported += 1

    def on_ended(self, endpoint: str) -> None:
        """Count an ended attempt that the last heartbeat may still include."""
        view = self._views.get(endpoint)
        if view is not None:
            view.n_unreported -= 1

    def on_finished(self, endpoint: str, seconds: float, n_tokens: int = 0) -> None:
        """Update an endpoint's moving averages of time per attempt and per token.

        Args:
            endpoint: Name of the endpoint.
            seconds: Duration of the successful attempt.
            n_tokens: Output tokens, 0 for a plain service.
        """
        view = self._views.get(endpoint)
        if view is None:
            return
        weight = SERVICE_TIME_SMOOTHING if view.service_s else 1.0
        view.service_s += weight * (seconds - view.service_s)
        if n_tokens:
            weight = (
                min(1.0, n_tokens / TOKEN_TIME_WINDOW_TOKENS)
                if view.s_per_token
                else 1.0
            )
            view.s_per_token += weight * (seconds / n_tokens - view.s_per_token)

    def incarnation(self, endpoint: str) -> str:
        """Return the last known incarnation of a sidecar, empty if unknown."""
        view = self._views.get(endpoint)
        return view.incarnation if view is not None else ""

    def candidates(self, request: Request) -> list[EndpointView]:
        """Return the eligible endpoints for the request's next attempt.

        Endpoints where earlier attempts failed are left out, unless there are no
        others. The list is empty just after a pause of this process, while the
        last heartbeats may be outdated.
        """
        eligible = list(self._eligible(request))
        untried = [view for view in eligible if view.endpoint not in request.excluded]
        return untried or eligible

    def has_capacity(self, request: Request) -> bool:
        """Return whether some endpoint can accept the request now."""
        priority = request.service.priority
        return any(view.n_free(priority) for view in self.candidates(request))

    def has_endpoint(self, request: Request) -> bool:
        """Return whether any endpoint is eligible for the request."""
        return any(True for _ in self._eligible(request))

    def views(self) -> Iterator[EndpointView]:
        """Yield the view of every live endpoint."""
        for view in self._views.values():
            if self.is_live(view.endpoint):
                yield view

    def _eligible(self, request: Request) -> Iterator[EndpointView]:
        if self._pause_detector.is_catching_up():
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
        """Return whether an endpoint's last heartbeat is recent enough."""
        heard_at = self._heard_at.get(endpoint)
        if heard_at is None:
            return False
        timeout_s = MAX_MISSED_HEARTBEATS * self.heartbeat_interval_s
        return self._clock.now() - heard_at <= timeout_s
