"""Define the platform's host list and its client over HTTP.

The list may be stale or wrong. It is used only to learn which hosts are leaving;
liveness comes from heartbeats.
"""

from collections.abc import Sequence
from typing import Protocol

from ..core import Message
from .http import HttpService


class HostEntry(Message):
    """One host of the list.

    Attributes:
        address: IP address, or "address:port" where sidecars share an address.
        leaving: Whether the platform is about to reclaim the host.
    """

    __slots__ = ("address", "leaving")

    def __init__(self, address: str, leaving: bool) -> None:
        self.address = address
        self.leaving = leaving


class HostPage(Message):
    """The host list at one revision.

    Attributes:
        revision: Number that grows with every change of the list.
        hosts: Live and leaving hosts.
    """

    __slots__ = ("revision", "hosts")

    def __init__(self, revision: int, hosts: Sequence[HostEntry]) -> None:
        self.revision = revision
        self.hosts = hosts


class HostList(Protocol):
    """The platform's list of live and leaving hosts."""

    def read(self) -> HostPage:
        """Return the list.

        Raises:
            PlatformError: If there was no answer.
        """
        ...


class HttpHostList:
    """Client of a host list over HTTP.

    Args:
        url: Base URL of the service.
    """

    __slots__ = ("_service",)

    def __init__(self, url: str) -> None:
        self._service = HttpService("host list", url)

    def read(self) -> HostPage:
        """Return the list; see `HostList.read`."""
        response = self._service.call_json("GET", "/v1/hosts")
        hosts = [
            HostEntry(item["address"], item["leaving"]) for item in response["hosts"]
        ]
        return HostPage(response["revision"], hosts)
