"""Choose which run of a leaving engine is copied next, and where."""

from collections.abc import Iterable

from ...policy import CrashEvidence
from ..directory import Directory
from ..eligibility import Eligibility
from ..endpoints import Endpoint, Endpoints
from ..messages import Request
from ..sampling import Sampling

# Least expected remaining time of a run that is copied: a copy takes 0.2 to 0.4 s.
MIN_REMAINING_S = 0.4
# Least remaining output that is assumed, as a share of the events sent so far: an
# output may exceed its estimate.
OVERRUN_SHARE = 0.2
# Gap between events that is assumed until the endpoint's own was measured.
DEFAULT_GAP_S = 0.05


class CopyCandidates:
    """Policy that chooses the runs to copy and the engines that receive them.

    Args:
        endpoints: Known endpoints.
        eligibility: Tells which endpoints may get new work.
        sampling: Samples the endpoints that are compared.
        directory: Deployment in force, for the capabilities of engines.
        evidence: Parts of prompts that end endpoints.
    """

    __slots__ = ("_directory", "_eligibility", "_endpoints", "_evidence", "_sampling")

    def __init__(
        self,
        endpoints: Endpoints,
        eligibility: Eligibility,
        sampling: Sampling,
        directory: Directory,
        evidence: CrashEvidence,
    ) -> None:
        self._endpoints = endpoints
        self._eligibility = eligibility
        self._sampling = sampling
        self._directory = directory
        self._evidence = evidence

    def can_migrate(self, endpoint: Endpoint) -> bool:
        """Return whether the runs of an endpoint can be copied."""
        rule = self._directory.service(endpoint.entry.service)
        return rule is not None and rule.engine is not None and rule.engine.can_migrate

    def may_be_copied(self, request: Request) -> bool:
        """Return whether the run of a request is not being copied and may be."""
        if request.migration is not None:
            return False
        # A prompt with an accused part may end the endpoint that it is copied to.
        if self._evidence.accused_part(request.shared_parts) is not None:
            return False
        return self._has_no_mirror(request)

    def rank(self, requests: Iterable[Request], endpoint: Endpoint) -> list[Request]:
        """Return the requests whose runs last long enough to be copied, longest first.

        The longest have most to lose, and shorter runs may end before the engine does.
        """
        ranked = sorted(
            (
                (self._remaining_s(request, endpoint), request.call_id, request)
                for request in requests
            ),
            reverse=True,
        )
        return [request for left_s, _, request in ranked if left_s >= MIN_REMAINING_S]

    def target(self, request: Request, endpoint: Endpoint) -> Endpoint | None:
        """Return the engine that receives the copy of a run, None if none has room."""
        rule = self._directory.service(request.service)
        if rule is None or rule.engine is None:
            return None
        memory_tokens = rule.engine.memory_tokens
        with_capacity = [
            other
            for other in self._eligibility.for_request(request)
            if other.name != endpoint.name
            and other.n_running < other.entry.n_slots
            and other.used_tokens + request.n_tokens <= memory_tokens
        ]
        # A copy to another failure domain takes twice as long, and time is short.
        domain = endpoint.entry.failure_domain
        same_domain = [
            other for other in with_capacity if other.entry.failure_domain == domain
        ]
        return min(
            self._sampling.draw(same_domain or with_capacity),
            key=lambda other: (other.used_tokens, other.name),
            default=None,
        )

    def _has_no_mirror(self, request: Request) -> bool:
        attempt = request.attempt
        if attempt is None or not request.route.is_stream:
            return False
        mirror = self._endpoints.get(attempt.mirror)
        return mirror is None or not self._eligibility.may_receive(mirror)

    def _remaining_s(self, request: Request, endpoint: Endpoint) -> float:
        rule = self._directory.service(request.service)
        per_event = rule.engine.tokens_per_event if rule and rule.engine else 1
        n_events = request.n_output_tokens / per_event - request.last_event
        n_events = max(n_events, OVERRUN_SHARE * request.last_event)
        return n_events * (endpoint.mean_gap_s or DEFAULT_GAP_S)
