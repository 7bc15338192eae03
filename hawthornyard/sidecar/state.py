"""Hold the state of the sidecar that several filters read."""

from ..records import Catalog, Endpoint


class SidecarState:
    """What one sidecar knows of itself.

    Args:
        name: Name of the endpoint record.
        failure_domain: Failure domain of this host, from the settings.
        incarnation: Identifier of this process.
        catalog: Records in force.

    Attributes:
        is_draining: Whether the process was asked to stop.
        n_running: Attempts at the endpoint.
        n_waiting: Attempts in the local queue.
        limit: Attempts that the endpoint may run now.
        load: Expected share of memory in use, 0 to 1.
    """

    __slots__ = (
        "name",
        "failure_domain",
        "incarnation",
        "catalog",
        "is_draining",
        "n_running",
        "n_waiting",
        "limit",
        "load",
    )

    def __init__(
        self, name: str, failure_domain: str, incarnation: str, catalog: Catalog
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        self.catalog = catalog
        self.is_draining = False
        self.n_running = 0
        self.n_waiting = 0
        self.limit = 0
        self.load = 0.0

    @property
    def record(self) -> Endpoint | None:
        """Return the record of this endpoint."""
        return self.catalog.endpoint(self.name)

    @property
    def is_domain_out(self) -> bool:
        """Return whether operators have taken this host's failure domain out."""
        domain = self.catalog.failure_domain(self.failure_domain)
        return domain is not None and not domain.in_service

    @property
    def is_accepting(self) -> bool:
        """Return whether new work is taken."""
        record = self.record
        if record is None or record.leaving:
            return False
        return not self.is_draining and not self.is_domain_out
