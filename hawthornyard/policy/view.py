"""Describe what a gateway believes about one endpoint."""

from ..core import Message


class EndpointView(Message):
    """One endpoint as its last heartbeat showed it.

    Attributes:
        endpoint: Name of the endpoint.
        failure_domain: Its failure domain.
        incarnation: Sidecar process that sent the heartbeat.
        revision: Configuration revision in force there.
        accepting: Whether it takes new work.
        n_running: Attempts at the endpoint.
        n_waiting: Attempts in the sidecar's queue.
        limit: Attempts that it may run now.
        load: Expected share of memory in use, 0 to 1.
        n_unreported: Own dispatches less own ended attempts since that heartbeat.
        service_s: Smoothed seconds that an attempt takes there, 0 if unknown.
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

    @property
    def n_expected(self) -> int:
        """Return the attempts that are there, as far as is known."""
        return max(0, self.n_running + self.n_waiting + self.n_unreported)

    @property
    def n_free(self) -> int:
        """Return how many more attempts the endpoint can begin at once."""
        return max(0, self.limit - self.n_expected)
