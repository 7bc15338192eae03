"""Choose the endpoint that runs a request."""

from collections.abc import Sequence
from typing import Protocol

from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .sampling import N_CHOICES

# Prefill rate in tokens per second that is assumed until an engine of the service was
# measured; from then on, engines without a measurement get the service's median.
DEFAULT_PREFILL_RATE = 8000.0
# Costs have no unit: 1.0 is the cost of a first event that takes the whole target
# latency of its route.

# Memory use beyond this share costs extra, since the engine may preempt runs.
PRESSURE_SHARE = 0.7
PRESSURE_COST = 5.0
# Cost of memory that is entirely in use.
MEMORY_COST = 0.3
# Cost of each second that a stream is expected to last: its engine may leave meanwhile.
DURATION_COST = 0.03
# Cost of an engine that has no more room under the limit that it named.
LIMIT_COST = 0.3
# Cost of an engine whose failure rate is 1.
FAILURE_COST = 4.0
# A failure rate of 1 multiplies the cost of an endpoint of a plain service by 1 plus
# this factor.
FAILURE_FACTOR = 10.0
# Share of an engine's memory that expected work may fill; the rest absorbs outputs
# that turn out longer than expected.
MAX_MEMORY_SHARE = 0.9


class Placement(Protocol):
    """Policy that chooses among the endpoints that may run a request."""

    def has_capacity(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint can start a request immediately."""
        ...

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the cost of a request at an endpoint; the lowest is chosen."""
        ...

    def n_choices(self, request: Request) -> int:
        """Return how many endpoints are compared when gateways are many."""
        ...


class LeastLoaded:
    """Policy that prefers early answers, low memory use and low failure rates.

    Args:
        directory: Deployment in force, for the memory and event size of engines.
        endpoints: Known endpoints.
    """

    __slots__ = ("_directory", "_endpoints")

    def __init__(self, directory: Directory, endpoints: Endpoints) -> None:
        self._directory = directory
        self._endpoints = endpoints

    def has_capacity(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether a slot and memory for the request are free.

        Only the slot counts if the engine's memory or the request's tokens are unknown.
        """
        if endpoint.n_running >= endpoint.entry.n_slots:
            return False
        capacity = self._memory_tokens(endpoint) * MAX_MEMORY_SHARE
        if not capacity or not request.n_tokens:
            return True
        return endpoint.used_tokens + request.n_tokens <= capacity

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the weighted sum of first-event latency, memory use and risks.

        If the engine's memory or the prompt size is unknown, as for plain services,
        the cost is instead the share of slots in use, times the mean answer time in
        seconds, times a factor for the failure rate. An endpoint that named a limit
        runs little, so what is used of its limit counts as well.
        """
        limit_used = endpoint.allowance.limit.occupancy
        memory_tokens = self._memory_tokens(endpoint)
        size = request.call.size
        if not memory_tokens or size is None:
            slots = (endpoint.n_running + 1) / max(1, endpoint.entry.n_slots)
            slots = max(slots, limit_used)
            failure_factor = 1.0 + FAILURE_FACTOR * endpoint.failure_rate
            return slots * (endpoint.mean_answer_s or 1.0) * failure_factor
        rate = endpoint.prefill_rate or self._median_prefill_rate(
            endpoint.entry.service
        )
        first_event_s = (endpoint.prefill_backlog + size.n_prompt_tokens) / rate
        memory = (endpoint.used_tokens + request.n_tokens) / memory_tokens
        pressure_cost = max(0.0, memory - PRESSURE_SHARE) * PRESSURE_COST
        return (
            first_event_s / request.route.target_s
            + MEMORY_COST * memory
            + pressure_cost
            + LIMIT_COST * limit_used
            + DURATION_COST * self._duration_s(request, endpoint)
            + FAILURE_COST * endpoint.failure_rate
        )

    def n_choices(self, request: Request) -> int:
        """Return the usual sample size."""
        return N_CHOICES

    def _duration_s(self, request: Request, endpoint: Endpoint) -> float:
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or rule.engine is None:
            return 0.0
        n_events = request.n_output_tokens / rule.engine.tokens_per_event
        return n_events * (
            endpoint.mean_gap_s or self._median_gap_s(endpoint.entry.service)
        )

    def _median_gap_s(self, service: str) -> float:
        gaps = [end.mean_gap_s for end in self._endpoints.of_service(service)]
        known = sorted(gap for gap in gaps if gap)
        return known[len(known) // 2] if known else 0.0

    def _median_prefill_rate(self, service: str) -> float:
        rates = [end.prefill_rate for end in self._endpoints.of_service(service)]
        known = sorted(rate for rate in rates if rate)
        return known[len(known) // 2] if known else DEFAULT_PREFILL_RATE

    def _memory_tokens(self, endpoint: Endpoint) -> int:
        rule = self._directory.service(endpoint.entry.service)
        if rule is None or rule.engine is None:
            return 0
        return rule.engine.memory_tokens


def cheapest(
    placement: Placement, request: Request, endpoints: Sequence[Endpoint]
) -> Endpoint | None:
    """Return the endpoint with the lowest cost, or None if there are none."""
    if not endpoints:
        return None
    return min(endpoints, key=lambda end: (placement.cost(request, end), end.name))
