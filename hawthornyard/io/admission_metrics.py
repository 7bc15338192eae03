"""Measure who waits, who is refused and what is late, by team and route."""

from ..core import Decision
from ..edge.messages import Request
from .metrics import ProgramMetrics

# Teams that have time series of their own; those that come later share one, which
# bounds the memory of a gateway that serves many thousand teams.
MAX_TEAMS = 100
OTHER_TEAMS = "other"
WAIT_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)
ERROR_BUCKETS_S = (-4.0, -2.0, -1.0, -0.5, -0.2, 0.0, 0.2, 0.5, 1.0, 2.0, 4.0)


class AdmissionMetrics:
    """Metrics of the admission by forecast capacity, and of late answers.

    Args:
        metrics: Metrics of the program.
    """

    __slots__ = ("_error", "_late", "_refusals", "_teams", "_wait", "_waits")

    def __init__(self, metrics: ProgramMetrics) -> None:
        self._teams: set[str] = set()
        self._waits = metrics.add_counter(
            "admission_waits",
            "Requests that waited for capacity and were started.",
            ["team", "route"],
        )
        self._refusals = metrics.add_counter(
            "admission_refusals",
            "Requests refused since no capacity was forecast in time.",
            ["team", "route"],
        )
        self._late = metrics.add_counter(
            "late_answers",
            "Answers after the target latency of their route.",
            ["team", "route"],
        )
        self._wait = metrics.add_histogram(
            "admission_wait_seconds",
            "Wait for capacity of requests that were started.",
            WAIT_BUCKETS_S,
            ["route"],
        )
        self._error = metrics.add_histogram(
            "forecast_error_seconds",
            "Actual less forecast start of requests that waited.",
            ERROR_BUCKETS_S,
            ["service"],
        )

    def note_decision(self, msg: Decision) -> None:
        """Count a decision on the admission of a request; ignore other decisions."""
        if msg.name not in ("admitted", "admission_refused"):
            return
        details = msg.details
        labels = self._team(str(details["team"])), str(details["route"])
        if msg.name == "admission_refused":
            self._refusals.labels(*labels).inc()
            return
        self._waits.labels(*labels).inc()
        self._wait.labels(labels[1]).observe(float(str(details["waited_s"])))
        error_s = float(str(details["error_s"]))
        self._error.labels(str(details["service"])).observe(error_s)

    def note_answer(self, request: Request, seconds: float) -> None:
        """Count an answer if it was late.

        Args:
            request: The request.
            seconds: Time from its arrival to the end of its answer, in seconds.
        """
        latency_s = request.first_event_s if request.route.is_stream else seconds
        if latency_s is not None and latency_s > request.route.target_s:
            self._late.labels(self._team(request.team), request.route.name).inc()

    def _team(self, team: str) -> str:
        if team not in self._teams and len(self._teams) >= MAX_TEAMS:
            return OTHER_TEAMS
        self._teams.add(team)
        return team
