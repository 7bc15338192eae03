"""Provide the planner with this gateway's view of endpoints and demand."""

from collections import Counter
from collections.abc import Iterator, Mapping

from ...core import Clock
from ...planner import Calendar, Candidate, ModelNeed, PlannerInput, is_open
from ...policy import EndpointView
from ...records import GENERATION, Catalog, Endpoint
from ..inflight import InFlight
from .fleet import Fleet


class FleetPlannerInput:
    """Build the planner's input from records, heartbeats and own requests.

    Requests queued at other gateways are not visible here; a model's lack of
    capacity there shows in the utilisation of its endpoints.

    Args:
        catalog: Records in force.
        fleet: State of the endpoints.
        inflight: Requests of this gateway without a final reply.
        calendar: Source of the time of the week.
        clock: Monotonic clock.
    """

    __slots__ = ("_calendar", "_catalog", "_clock", "_fleet", "_inflight")

    def __init__(
        self,
        catalog: Catalog,
        fleet: Fleet,
        inflight: InFlight,
        calendar: Calendar,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._fleet = fleet
        self._inflight = inflight
        self._calendar = calendar
        self._clock = clock

    def planner_input(self) -> PlannerInput:
        """Return the input; see `PlannerInputSource.planner_input`."""
        views = {view.endpoint: view for view in self._fleet.views()}
        candidates = [
            self._candidate(endpoint, views.get(endpoint.name))
            for endpoint in self._catalog.endpoints()
            if endpoint.protocol == GENERATION
        ]
        return PlannerInput(self._clock.now(), candidates, self._needs())

    def _candidate(self, endpoint: Endpoint, view: EndpointView | None) -> Candidate:
        available = (
            view is not None
            and view.accepting
            and self._catalog.in_service(endpoint)
            and not self._fleet.leaving_hosts.includes(endpoint)
        )
        return Candidate(
            endpoint.name,
            endpoint.failure_domain,
            endpoint.models,
            self._fleet.loaded_models.models_of(endpoint.name),
            endpoint.max_limit,
            view.n_expected if view is not None else 0,
            available,
        )

    def _needs(self) -> Mapping[str, ModelNeed]:
        open_models = set(self._open_models())
        waiting = Counter(
            request.model for request in self._inflight if not request.attempt_id
        )
        return {
            model.name: ModelNeed(
                model.name,
                model.weights,
                model.weight_bytes,
                model.name in open_models,
                waiting[model.name],
            )
            for model in self._catalog.models()
        }

    def _open_models(self) -> Iterator[str]:
        now = self._calendar.week_time()
        for service in self._catalog.services():
            if is_open(service, now):
                yield from service.models
