"""Tell which requests can end before a stopping process is killed."""

from statistics import median

from ..core import Clock
from ..policy import LengthRatios
from .directory import Directory
from .endpoints import Endpoint, Endpoints
from .messages import GenerationSize, Request
from .peers import Peers

# Time kept free before the kill, for the answer's way to the caller.
MARGIN_S = 0.5
# Share of the generations that must end in time among those that are taken.
LENGTH_QUANTILE = 0.9
MIN_RETRY_AFTER_S = 0.05


class GracePeriod:
    """The time that a process has from the request to stop until it is killed.

    Args:
        directory: Deployment in force, for the event size of engines.
        endpoints: Known endpoints, for the speed that was seen.
        peers: The other gateways, to which refused callers may turn.
        clock: Source of time.

    Attributes:
        seconds: Length of the period in seconds, None if it is not bounded.
        rotation_s: Seconds from its begin until no new connections are sent here.
    """

    __slots__ = (
        "_begun_at",
        "_clock",
        "_directory",
        "_endpoints",
        "_length_ratios",
        "_peers",
        "rotation_s",
        "seconds",
    )

    def __init__(
        self,
        directory: Directory,
        endpoints: Endpoints,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._endpoints = endpoints
        self._peers = peers
        self._clock = clock
        self._length_ratios: dict[str, LengthRatios] = {}
        self._begun_at: float | None = None
        self.seconds: float | None = None
        self.rotation_s = 0.0

    def begin(self) -> None:
        """Start the period, unless it has begun."""
        if self._begun_at is None:
            self._begun_at = self._clock.now()

    def note_end(self, request: Request) -> None:
        """Learn from the length of a generation that has ended."""
        size = request.call.size
        if size is None or not request.last_event:
            return
        n_tokens = request.last_event * self._tokens_per_event(request.service)
        ratios = self._length_ratios.setdefault(request.route.name, LengthRatios())
        ratios.observe(n_tokens, size.n_output_tokens)

    def has_time_for(self, request: Request) -> bool:
        """Return whether a request that is sent now ends before the kill.

        It does if its deadline is before it, or if it is expected to be answered by
        then at the speed that this gateway has seen.
        """
        if self._begun_at is None or self.seconds is None:
            return True
        must_end_at = self._begun_at + self.seconds - MARGIN_S
        if request.deadline <= must_end_at:
            return True
        return self._clock.now() + self._expected_s(request) <= must_end_at

    @property
    def retry_after_s(self) -> float:
        """Return after how many seconds a refused caller reaches another gateway.

        The load balancer sends callers to gateways of their failure domain while it
        has any, so that one without neighbours would get them again at once.
        """
        if self._begun_at is None or self._peers.has_neighbour:
            return MIN_RETRY_AFTER_S
        left_s = self._begun_at + self.rotation_s - self._clock.now()
        return max(MIN_RETRY_AFTER_S, left_s)

    def _expected_s(self, request: Request) -> float:
        endpoints = self._endpoints.of_service(request.service)
        size = request.call.size
        if size is None:
            answers_s = [end.mean_answer_s for end in endpoints]
            return max(request.route.target_s, *answers_s, 0.0)
        prefills_s = [
            (end.prefill_backlog + size.n_prompt_tokens) / end.prefill_rate
            for end in endpoints
            if end.prefill_rate
        ]
        first_event_s = median(prefills_s) if prefills_s else request.route.target_s
        return first_event_s + self._writing_s(request, size, endpoints)

    def _writing_s(
        self, request: Request, size: GenerationSize, endpoints: list[Endpoint]
    ) -> float:
        ratios = self._length_ratios.get(request.route.name, LengthRatios())
        ratio = ratios.quantile(LENGTH_QUANTILE)
        n_tokens = min(size.max_tokens, ratio * size.n_output_tokens)
        # The route tells the longest sound gap; until gaps were seen, nothing better is
        # known.
        gaps_s = [end.mean_gap_s for end in endpoints if end.mean_gap_s]
        gap_s = median(gaps_s) if gaps_s else request.route.gap_target_s
        return n_tokens / self._tokens_per_event(request.service) * gap_s

    def _tokens_per_event(self, service: str) -> int:
        rule = self._directory.service(service)
        if rule is None or rule.engine is None:
            return 1
        return rule.engine.tokens_per_event
