"""State that the filters of a sidecar share."""

from ..records import Catalog, Endpoint


class SidecarState:
    """Identity, configuration and load of one sidecar.

    Args:
        name: Name of the endpoint record.
        failure_domain: Failure domain of this host, from the settings.
        incarnation: Unique identifier of this process.
        catalog: Records in force.

    Attributes:
        is_draining: Whether the process was asked to stop.
        n_running: Number of attempts that run at the endpoint.
        n_waiting: Number of attempts in the local queue.
        limit: Current concurrency limit in attempts, 0 before the endpoint's
            record arrives.
        load: Expected fraction of the endpoint's memory in use, 0 to 1.
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
        """Return the record of this endpoint, None if there is none."""
        return self.catalog.endpoint(self.name)

    @property
    def is_domain_out(self) -> bool:
        """Return whether operators took this host's failure domain out of service."""
        domain = self.catalog.failure_domain(self.failure_domain)
        return domain is not None and not domain.in_service

    @property
    def is_accepting(self) -> bool:
        """Return whether new attempts are accepted."""
        record = self.record
        if record is None or record.leaving:
            return False
        return not self.is_draining and not self.is_domain_out
