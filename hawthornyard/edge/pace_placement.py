"""Choose the endpoint of a request by the pace that endpoints report."""

from collections.abc import Sequence
from statistics import median
from zlib import crc32

from ..core import Clock
from .deployment import EngineRule
from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import Request
from .pace import MAX_PACE_AGE_S
from .placement import (
    DEFAULT_PREFILL_RATE,
    DURATION_COST,
    FAILURE_COST,
    LIMIT_COST,
    MEMORY_COST,
    PRESSURE_COST,
    Placement,
)

# Costs have no unit: 1.0 is the cost of one response that is late.

# Endpoints that are compared when gateways are many. Dispatched prompts are told to
# all gateways at once, so that few gateways choose on the same news; two choices would
# often both be slow or both be busy.
N_PACED_CHOICES = 6
# Share of an engine's memory that requests may fill when each is longest. They are not
# longest at the same time, so that no further reserve is needed: seven long responses
# of 3,752 tokens that began one after another hold some 24,000 tokens, not 26,264.
MAX_PACED_MEMORY_SHARE = 1.0
# Memory use beyond this share costs extra: beyond it, one more long response that this
# gateway has not heard of would not fit, and the engine would preempt the newest.
PACED_PRESSURE_SHARE = 0.85
# A decoding step that also reads a chunk of a prompt takes some 16 ms, one without
# 7 ms and more.
MIXED_STEP_FACTOR = 2.0
# Share of the allowed gap from which on a gap is at risk of being too long: the pace
# changes many times a second.
RISKY_GAP_SHARE = 0.8
# Share of the target latency from which on a first event is at risk of being late.
RISKY_FIRST_EVENT_SHARE = 0.7
# Time for which a machine is slow at a time.
SLOW_SPELL_S = 0.6
# Usual figures that are assumed, so that few slow ones decide little.
N_ASSUMED_FIGURES = 10
# Age up to which measures over a service are used: over 600 endpoints they take
# milliseconds.
TYPICAL_LIFETIME_S = 1.0
# Largest cost by which the order of equally good endpoints differs among gateways, as
# much as 0.1 of a target: with the same news all would choose the first by name.
SPREAD_COST = 0.05
# Cost of a first event that takes the whole target and is not at risk.
FIRST_EVENT_COST = 0.5


class PacePlacement:
    """Policy for engines that report how long work takes there at this moment.

    It addresses a load of long prompts among streams with an allowed gap, on machines
    that are slow for a part of a second at a time: a prompt that is read at an engine
    whose machine is slow makes the events of all streams there late.

    Args:
        name: Name of the gateway.
        directory: Deployment in force, for the memory and event size of engines.
        endpoints: Known endpoints.
        clock: Source of time.
        default: Policy for services whose endpoints report no pace, and for plain
            requests.
    """

    __slots__ = (
        "_clock",
        "_default",
        "_directory",
        "_endpoints",
        "_name",
        "_typicals",
    )

    def __init__(
        self,
        name: str,
        directory: Directory,
        endpoints: Endpoints,
        clock: Clock,
        default: Placement,
    ) -> None:
        self._name = name
        self._directory = directory
        self._endpoints = endpoints
        self._clock = clock
        self._default = default
        self._typicals: dict[str, _Typical] = {}

    def n_choices(self, request: Request) -> int:
        """Return how many endpoints are compared when gateways are many."""
        if not self._is_paced(request):
            return self._default.n_choices(request)
        return N_PACED_CHOICES

    def has_capacity(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether an endpoint can start a request without making others late.

        Memory counts with what each request holds when it is longest. A prompt that
        would make the gaps of streams there too long waits. One that would be late
        there behind others does not: its own time runs out as fast as they are read.
        """
        if not self._is_paced(request):
            return self._default.has_capacity(request, endpoint)
        if endpoint.n_running >= endpoint.entry.n_slots:
            return False
        if self._memory_share(request, endpoint) > MAX_PACED_MEMORY_SHARE:
            return False
        return not self._delays_streams(endpoint)

    def cost(self, request: Request, endpoint: Endpoint) -> float:
        """Return the expected number of late responses, plus memory use and risks."""
        if not self._is_paced(request):
            return self._default.cost(request, endpoint)
        memory = self._memory_share(request, endpoint)
        return (
            self._first_event_cost(request, endpoint)
            + self._gap_cost(request, endpoint)
            + MEMORY_COST * memory
            + PRESSURE_COST * max(0.0, memory - PACED_PRESSURE_SHARE)
            + LIMIT_COST * endpoint.allowance.limit.occupancy
            + DURATION_COST * self._duration_s(request, endpoint)
            + FAILURE_COST * endpoint.failure_rate
            + SPREAD_COST * self._spread(endpoint)
        )

    def _spread(self, endpoint: Endpoint) -> float:
        # From 0 to 1, another one at each gateway.
        return crc32(f"{self._name}/{endpoint.name}".encode()) / 2**32

    def _is_paced(self, request: Request) -> bool:
        if request.call.size is None:
            return False
        if request.service not in self._endpoints.paced_services:
            return False
        rule = self._directory.service(request.service)
        return rule is not None and rule.engine is not None

    def _delays_streams(self, endpoint: Endpoint) -> bool:
        pace = endpoint.pace
        if not pace.is_fresh or self._gap_risk(endpoint, pace.factor) < 1.0:
            return False
        return endpoint.n_running > 0

    def _first_event_cost(self, request: Request, endpoint: Endpoint) -> float:
        waited_s = self._clock.now() - request.arrived_at
        first_event_s = waited_s + self._first_event_s(request, endpoint)
        share = first_event_s / request.route.target_s
        risk = (share - RISKY_FIRST_EVENT_SHARE) / (1.0 - RISKY_FIRST_EVENT_SHARE)
        return FIRST_EVENT_COST * share + max(0.0, risk)

    def _first_event_s(self, request: Request, endpoint: Endpoint) -> float:
        size = request.call.size
        n_tokens = endpoint.prefill_backlog + (size.n_prompt_tokens if size else 0)
        usual_s = n_tokens / self._prefill_rate(endpoint)
        return usual_s + self._slow_spell_s(usual_s, endpoint)

    def _slow_spell_s(self, usual_s: float, endpoint: Endpoint) -> float:
        # Seconds that work takes longer since the machine is slow now; it is not for
        # longer than a slow spell lasts.
        pace = endpoint.pace
        if not pace.is_fresh or pace.factor <= 1.0:
            return 0.0
        left_s = MAX_PACE_AGE_S - pace.age_s
        return min(usual_s * (pace.factor - 1.0), left_s * (1.0 - 1.0 / pace.factor))

    def _gap_cost(self, request: Request, endpoint: Endpoint) -> float:
        # Streams that the prompt is expected to make late: the machine is slow now, or
        # becomes so while it reads the prompt.
        pace = endpoint.pace
        size = request.call.size
        service = self._typical(endpoint.entry.service)
        prefill_s = size.n_prompt_tokens / self._prefill_rate(endpoint) if size else 0.0
        begins = min(1.0, prefill_s / SLOW_SPELL_S)
        share = begins if pace.is_fresh else 1.0 + begins
        slow_risk = self._gap_risk(endpoint, service.slow_factor)
        risk = max(
            service.slow_share * share * slow_risk,
            self._gap_risk(endpoint, pace.factor),
        )
        return min(1.0, risk) * endpoint.n_running

    def _gap_risk(self, endpoint: Endpoint, factor: float) -> float:
        # Risk that reading a prompt at a pace makes a gap of a stream there too long.
        gap_target_s = self._directory.gap_target_s(endpoint.entry.service)
        if not gap_target_s:
            return 0.0
        usual_s = self._usual_gap_s(endpoint)
        # A figure below the usual one attracts no prompts, whether true or false.
        gap_s = usual_s * MIXED_STEP_FACTOR * max(1.0, factor)
        share = gap_s / gap_target_s
        return min(1.0, max(0.0, share - RISKY_GAP_SHARE) / (1.0 - RISKY_GAP_SHARE))

    def _memory_share(self, request: Request, endpoint: Endpoint) -> float:
        engine = self._engine(endpoint)
        if engine is None or not engine.memory_tokens:
            return 0.0
        return (endpoint.used_tokens + request.n_tokens) / engine.memory_tokens

    def _duration_s(self, request: Request, endpoint: Endpoint) -> float:
        engine = self._engine(endpoint)
        if engine is None:
            return 0.0
        n_events = request.n_output_tokens / engine.tokens_per_event
        return n_events * self._usual_gap_s(endpoint)

    def _engine(self, endpoint: Endpoint) -> EngineRule | None:
        rule = self._directory.service(endpoint.entry.service)
        return rule.engine if rule is not None else None

    def _usual_gap_s(self, endpoint: Endpoint) -> float:
        return endpoint.usual_gap_s or self._typical(endpoint.entry.service).gap_s

    def _prefill_rate(self, endpoint: Endpoint) -> float:
        rate = endpoint.prefill_rate
        return rate or self._typical(endpoint.entry.service).prefill_rate

    def _typical(self, service: str) -> "_Typical":
        now = self._clock.now()
        known = self._typicals.get(service)
        if known is None or now - known.taken_at >= TYPICAL_LIFETIME_S:
            known = _Typical(self._endpoints.of_service(service), now)
            self._typicals[service] = known
        return known


class _Typical:
    """What was measured over the endpoints of a service.

    Attributes:
        gap_s: Median of the usual gaps in seconds, 0 if none was measured.
        prefill_rate: Median prefill rate in tokens per second.
        slow_share: Share of the figures that told of a slow machine.
        slow_factor: Mean of those figures, 1.0 if there were none.
        taken_at: Monotonic time in seconds at which they were taken.
    """

    __slots__ = ("gap_s", "prefill_rate", "slow_factor", "slow_share", "taken_at")

    def __init__(self, endpoints: Sequence[Endpoint], now: float) -> None:
        gaps = [end.usual_gap_s for end in endpoints if end.usual_gap_s]
        rates = [rate for end in endpoints if (rate := end.prefill_rate)]
        self.gap_s = median(gaps) if gaps else 0.0
        self.prefill_rate = median(rates) if rates else DEFAULT_PREFILL_RATE
        counts = [end.pace.counts for end in endpoints]
        n_figures = sum(count.n_figures for count in counts)
        n_slow = sum(count.n_slow for count in counts)
        self.slow_share = n_slow / (n_figures + N_ASSUMED_FIGURES)
        self.slow_factor = 1.0
        if n_slow:
            self.slow_factor = sum(count.sum_slow for count in counts) / n_slow
        self.taken_at = now
