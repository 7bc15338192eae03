"""Tell which services report how loaded their endpoints are."""

from typing import Protocol

from .endpoints import Endpoints


class LoadAwareServices(Protocol):
    """The services whose requests are admitted by forecast capacity."""

    def is_load_aware(self, service: str) -> bool:
        """Return whether the endpoints of a service report their current pace."""
        ...


class PacedServices:
    """The services of which some endpoint has reported its pace.

    Args:
        endpoints: Known endpoints.
    """

    __slots__ = ("_endpoints",)

    def __init__(self, endpoints: Endpoints) -> None:
        self._endpoints = endpoints

    def is_load_aware(self, service: str) -> bool:
        """Return whether some endpoint of a service has reported its pace."""
        return service in self._endpoints.paced_services
