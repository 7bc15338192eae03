"""Hold what the gateway believes about the endpoints."""

from collections.abc import Iterator

from ...core import Clock
from ...frames import Heartbeat
from ...policy import EndpointView
from ...records import Catalog
from ..messages import Request

SUSPECT_AFTER_S = 3.0
SERVICE_TIME_WEIGHT = 0.1


class Fleet:
    """Soft state about the endpoints, rebuilt from heartbeats.

    Args:
        catalog: Records in force.
        clock: Source of time.
    """

    __slots__ = ("_catalog", "_clock", "_heard_at", "_views")

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self._catalog = catalog
        self._clock = clock
        self._views: dict[str, EndpointView] = {}
        self._heard_at: dict[str, float] = {}

    def on_heartbeat(self, beat: Heartbeat) -> None:
        """Take the state of an endpoint over."""
        endpoint = self._catalog.endpoint(beat.endpoint)
        if endpoint is None:
            return
        view = self._views.setdefault(
            endpoint.name, EndpointView(endpoint.name, endpoint.failure_domain)
        )
        view.failure_domain = endpoint.failure_domain
        view.incarnation = beat.incarnation
        view.accepting = beat.accepting
        view.n_running = beat.n_running
        view.n_waiting = beat.n_waiting
        view.limit = beat.limit
        view.load = beat.load
        view.n_unreported = 0
        self._heard_at[endpoint.name] = self._clock.now()

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

    def on_finished(self, endpoint: str, seconds: float) -> None:
        """Learn how long an attempt took at an endpoint."""
        view = self._views.get(endpoint)
        if view is None:
            return
        weight = SERVICE_TIME_WEIGHT if view.service_s else 1.0
        view.service_s += weight * (seconds - view.service_s)

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
        return any(view.n_free for view in self.candidates(request))

    def has_any(self, request: Request) -> bool:
        """Return whether any live endpoint fits the request."""
        return any(True for _ in self._fitting(request))

    def views(self) -> Iterator[EndpointView]:
        """Yield the view of every endpoint heard of lately."""
        for view in self._views.values():
            if self.is_live(view.endpoint):
                yield view

    def _fitting(self, request: Request) -> Iterator[EndpointView]:
        model = request.model
        for endpoint in self._catalog.endpoints():
            view = self._views.get(endpoint.name)
            if view is None or not view.accepting:
                continue
            if not self.is_live(endpoint.name):
                continue
            if not self._catalog.in_service(endpoint):
                continue
            if endpoint.serves(request.service, model):
                yield view

    def is_live(self, endpoint: str) -> bool:
        """Return whether an endpoint was heard of lately."""
        heard_at = self._heard_at.get(endpoint)
        if heard_at is None:
            return False
        return self._clock.now() - heard_at <= SUSPECT_AFTER_S
