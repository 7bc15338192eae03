"""Tell which services report how loaded their endpoints are."""

from typing import Protocol


class LoadAwareServices(Protocol):
    """The services whose requests are admitted by forecast capacity."""

    def is_load_aware(self, service: str) -> bool:
        """Return whether the endpoints of a service report their current pace."""
        ...


class NoLoadAwareServices:
    """Implementation for deployments whose endpoints report no pace."""

    __slots__ = ()

    def is_load_aware(self, service: str) -> bool:
        """Return False: requests of each service are queued without a forecast."""
        return False
