"""Choose the endpoint of the next attempt."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message
from ...errors import ErrorKind
from ..directory import Directory
from ..eligibility import Eligibility
from ..messages import AttemptFailed, Dequeued, Routed
from ..placement import Placement, cheapest
from ..prefill import PrefillPolicy
from ..sampling import Sampling


class Route:
    """Filter that chooses the endpoint with the lowest cost for a request.

    Args:
        eligibility: Tells which endpoints may get new work.
        sampling: Samples the endpoints that are compared.
        placement: Policy that rates the sampled endpoints.
        prefill: Tells where a prompt may begin.
        directory: Deployment in force, for the log.
    """

    __slots__ = (
        "_directory",
        "_eligibility",
        "_placement",
        "_prefill",
        "_sampling",
        "handlers",
    )

    def __init__(
        self,
        eligibility: Eligibility,
        sampling: Sampling,
        placement: Placement,
        prefill: PrefillPolicy,
        directory: Directory,
    ) -> None:
        self._eligibility = eligibility
        self._sampling = sampling
        self._placement = placement
        self._prefill = prefill
        self._directory = directory
        self.handlers: Handlers = {Dequeued: self._on_dequeued}

    def _on_dequeued(self, msg: Dequeued) -> Iterator[Message]:
        request = msg.request
        candidates = self._eligibility.for_request(request)
        with_capacity = [
            end for end in candidates if self._placement.has_capacity(request, end)
        ]
        in_turn = [
            end for end in with_capacity if self._prefill.may_begin(request, end)
        ]
        drawn = self._sampling.draw(
            in_turn or with_capacity or candidates, self._placement.n_choices(request)
        )
        endpoint = cheapest(self._placement, request, drawn)
        if endpoint is None:
            yield AttemptFailed(request, ErrorKind.NO_ENDPOINT)
            return
        yield Decision(
            "route",
            request_id=request.request_id,
            reason="room" if with_capacity else "no room",
            endpoint=endpoint.name,
            failure_domain=endpoint.entry.failure_domain,
            cost=round(self._placement.cost(request, endpoint), 3),
            n_candidates=len(candidates),
            n_in_turn=len(in_turn),
            n_running=endpoint.n_running,
            pace=endpoint.pace.shown,
            team=request.team,
            route=request.route.name,
            service=request.service,
            version=self._directory.version,
        )
        yield Routed(request, endpoint.name)
