"""Choose the sidecars that the gateway keeps connections to."""

from collections.abc import Mapping

from ...policy import spread_subset
from ...records import GENERATION, Catalog, Endpoint

SUBSET_SIZE = 8


class Subset:
    """A bounded subset of the sidecars of each model and plain service.

    A full mesh of gateways and sidecars would spend the whole control
    budget on heartbeats. The subset is spread over failure domains and
    differs from gateway to gateway.

    Args:
        name: Name of this gateway.
        catalog: Records in force.
        size: Sidecars for each model or plain service.
    """

    __slots__ = ("_catalog", "_name", "_size", "_wanted")

    def __init__(self, name: str, catalog: Catalog, *, size: int = SUBSET_SIZE) -> None:
        self._name = name
        self._catalog = catalog
        self._size = size
        self._wanted: set[str] = set()

    def want(self, endpoint: str) -> None:
        """Add an endpoint that a reconnecting caller needs."""
        if self._catalog.endpoint(endpoint) is not None:
            self._wanted.add(endpoint)

    def addresses(self) -> Mapping[str, str]:
        """Return "address:port" of the chosen sidecars by endpoint name."""
        chosen = set(self._wanted)
        for groups in self._offers().values():
            chosen.update(spread_subset(self._name, groups.values(), self._size))
        found = {}
        for name in sorted(chosen):
            endpoint = self._catalog.endpoint(name)
            if endpoint is not None:
                found[name] = endpoint.sidecar
        return found

    def _offers(self) -> dict[str, dict[str, list[str]]]:
        offers: dict[str, dict[str, list[str]]] = {}
        for endpoint in self._catalog.endpoints():
            for offer in _offers_of(endpoint):
                groups = offers.setdefault(offer, {})
                groups.setdefault(endpoint.failure_domain, []).append(endpoint.name)
        return offers


def _offers_of(endpoint: Endpoint) -> list[str]:
    if endpoint.protocol == GENERATION:
        return [f"model {name}" for name in endpoint.models]
    return [f"service {name}" for name in endpoint.services]
