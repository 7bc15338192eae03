"""Choose the sidecars that the gateway connects to."""

from collections.abc import Mapping

from ...policy import spread_subset
from ...records import GENERATION, Catalog, Endpoint

SUBSET_SIZE = 8


class SidecarSubset:
    """A bounded subset of the sidecars of each model and plain service.

    In a full mesh of gateways and sidecars, heartbeats would use up the whole
    budget for control traffic. The subset is spread over failure domains and
    differs between gateways.

    Args:
        name: Name of this gateway.
        catalog: Records in force.
        size: Number of sidecars for each model or plain service.
    """

    __slots__ = ("_catalog", "_included", "_name", "_size")

    def __init__(self, name: str, catalog: Catalog, *, size: int = SUBSET_SIZE) -> None:
        self._name = name
        self._catalog = catalog
        self._size = size
        self._included: set[str] = set()

    def include(self, endpoint: str) -> None:
        """Include an endpoint that a reconnecting caller needs, if it has a record."""
        if self._catalog.endpoint(endpoint) is not None:
            self._included.add(endpoint)

    def addresses(self) -> Mapping[str, str]:
        """Return the "address:port" of the chosen sidecars, by endpoint name."""
        chosen = set(self._included)
        for by_domain in self._endpoints_by_target().values():
            chosen.update(spread_subset(self._name, by_domain.values(), self._size))
        found = {}
        for name in sorted(chosen):
            endpoint = self._catalog.endpoint(name)
            if endpoint is not None:
                found[name] = endpoint.sidecar
        return found

    def _endpoints_by_target(self) -> dict[str, dict[str, list[str]]]:
        by_target: dict[str, dict[str, list[str]]] = {}
        for endpoint in self._catalog.endpoints():
            for target in _targets(endpoint):
                by_domain = by_target.setdefault(target, {})
                by_domain.setdefault(endpoint.failure_domain, []).append(endpoint.name)
        return by_target


def _targets(endpoint: Endpoint) -> list[str]:
    if endpoint.protocol == GENERATION:
        return [f"model {name}" for name in endpoint.models]
    return [f"service {name}" for name in endpoint.services]
