"""Hold a gateway's view of one endpoint."""

from ..core import Message

# Attempts that may wait at a full endpoint, to begin there between heartbeats.
QUEUE_DEPTH = 1
# Priority steps that let one more attempt wait there, ahead of those of lower
# priority.
PRIORITY_PER_QUEUED_ATTEMPT = 5


class EndpointView(Message):
    """The state of one endpoint, from its last heartbeat and the gateway's attempts.

    Attributes:
        endpoint: Name of the endpoint.
        failure_domain: Its failure domain.
        incarnation: Identifier of the sidecar process that sent the heartbeat.
        revision: Configuration revision in force there.
        accepting: Whether it accepts new work.
        n_running: Attempts that run at the endpoint.
        n_waiting: Attempts in the sidecar's queue.
        limit: Attempts that it may run at once now.
        load: Expected use of its memory as a fraction of the whole.
        n_unreported: Attempts that this gateway dispatched since that heartbeat, less
            those that ended.
        service_s: Moving average of an attempt's duration in seconds, 0 if unknown.
        s_per_token: Moving average of the seconds per token, 0 if unknown.
    """

    __slots__ = (
        "endpoint",
        "failure_domain",
        "incarnation",
        "revision",
        "accepting",
        "n_running",
        "n_waiting",
        "limit",
        "load",
        "n_unreported",
        "service_s",
        "s_per_token",
    )

    def __init__(self, endpoint: str, failure_domain: str) -> None:
        self.endpoint = endpoint
        self.failure_domain = failure_domain
        self.incarnation = ""
        self.revision = 0
        self.accepting = False
        self.n_running = 0
        self.n_waiting = 0
        self.limit = 0
        self.load = 0.0
        self.n_unreported = 0
        self.service_s = 0.0
        self.s_per_token = 0.0

    @property
    def n_expected(self) -> int:
        """Return the number of attempts expected to run or wait there."""
        return max(0, self.n_running + self.n_waiting + self.n_unreported)

    def n_free(self, priority: int) -> int:
        """Return how many more attempts of a priority may be sent there now."""
        n_free_to_run = min(self.limit, self.n_fitting_memory) - self.n_expected
        queue_depth = QUEUE_DEPTH + priority // PRIORITY_PER_QUEUED_ATTEMPT
        return max(0, n_free_to_run + queue_depth)

    @property
    def n_fitting_memory(self) -> int:
        """Return how many attempts fit its memory at the mean size of those running.

        The limit stands in while nothing runs or the load is unknown.
        """
        if not self.n_running or self.load <= 0.0:
            return self.limit
        return int(self.n_running / self.load)

    @property
    def occupancy(self) -> float:
        """Return the ratio of expected attempts to those that limit and memory allow.

        At 1 the endpoint is full; above, attempts wait.
        """
        return self.n_expected / max(1, min(self.limit, self.n_fitting_memory))
