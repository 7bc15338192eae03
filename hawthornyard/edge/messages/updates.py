"""Define updates of the deployment, endpoints, gateways and the store's health."""

from collections.abc import Mapping, Sequence
from enum import Enum

from ...core import Message
from ..deployment import Deployment


class Origin(Enum):
    """Source of the information that an endpoint leaves."""

    STORE = "store"
    ENDPOINT = "endpoint"
    GATEWAY = "gateway"


class DeploymentRead(Message):
    """A deployment that was read from the store.

    Attributes:
        deployment: The deployment.
        revision: Number that the store gave to the write, 0 if unknown.
        answered_at: Monotonic time in seconds at which the store's answer began, None
            if unknown.
    """

    __slots__ = ("deployment", "revision", "answered_at")

    def __init__(
        self,
        deployment: Deployment,
        revision: int = 0,
        answered_at: float | None = None,
    ) -> None:
        self.deployment = deployment
        self.revision = revision
        self.answered_at = answered_at


class DomainsRead(Message):
    """The failure domains that operators have taken out of service."""

    __slots__ = ("names",)

    def __init__(self, names: frozenset[str]) -> None:
        self.names = names


class EndpointEntry(Message):
    """Published state of an endpoint.

    Attributes:
        name: Name of the endpoint.
        service: Service that it belongs to.
        address: "address:port" where it is called.
        failure_domain: Failure domain that it runs in.
        n_slots: Largest number of requests that it runs concurrently.
        is_draining: Whether it is about to leave.
        cold_s: Seconds until it is warm.
        born: Start time in Unix milliseconds; another value means another incarnation.
        version: Version of its software, empty if it names none.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "failure_domain",
        "n_slots",
        "is_draining",
        "cold_s",
        "born",
        "version",
    )

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        failure_domain: str,
        *,
        n_slots: int = 1,
        is_draining: bool = False,
        cold_s: float = 0.0,
        born: int = 0,
        version: str = "",
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.n_slots = n_slots
        self.is_draining = is_draining
        self.cold_s = cold_s
        self.born = born
        self.version = version


class EndpointsRead(Message):
    """Changed or removed entries of endpoints.

    Attributes:
        entries: Entries that are new or have changed.
        gone: Names whose entries were removed.
        is_complete: Whether `entries` lists all endpoints that exist.
    """

    __slots__ = ("entries", "gone", "is_complete")

    def __init__(
        self,
        entries: Sequence[EndpointEntry],
        gone: Sequence[str] = (),
        *,
        is_complete: bool = False,
    ) -> None:
        self.entries = entries
        self.gone = gone
        self.is_complete = is_complete


class EndpointLeaving(Message):
    """The notice that an endpoint leaves soon and gets no new work.

    Attributes:
        endpoint: Name of the endpoint.
        origin: Source of the notice.
    """

    __slots__ = ("endpoint", "origin")

    def __init__(self, endpoint: str, origin: Origin) -> None:
        self.endpoint = endpoint
        self.origin = origin


class GatewaysRead(Message):
    """All gateways that exist.

    Attributes:
        addresses: "address:port" for frames, by name of the gateway.
        failure_domains: Failure domains of those that told theirs, by name.
    """

    __slots__ = ("addresses", "failure_domains")

    def __init__(
        self,
        addresses: Mapping[str, str],
        failure_domains: Mapping[str, str] | None = None,
    ) -> None:
        self.addresses = addresses
        self.failure_domains = failure_domains or {}


class StoreAnswered(Message):
    """An answer of the store to a feed, with or without changes.

    Attributes:
        feed: Name of the feed.
        as_of: Latest monotonic time in seconds at which the answer was certainly
            current.
    """

    __slots__ = ("feed", "as_of")

    def __init__(self, feed: str, as_of: float) -> None:
        self.feed = feed
        self.as_of = as_of


class StoreRestored(Message):
    """The return of the store from a copy that may lack the newest changes.

    Attributes:
        feed: Name of the feed that has noticed it; what it reads next may be the copy.
        era: Number of the store's era, which rises with each restore.
        noticed_at: Monotonic time in seconds at which the feed noticed it.
    """

    __slots__ = ("feed", "era", "noticed_at")

    def __init__(self, feed: str, era: int, noticed_at: float) -> None:
        self.feed = feed
        self.era = era
        self.noticed_at = noticed_at


class StoreFailed(Message):
    """A failure of the store to answer a feed.

    Attributes:
        feed: Name of the feed.
        detail: Description of the failure.
        sent_at: Monotonic time in seconds at which the failed call was sent; the store
            may have been reachable again from then on.
        after_version: Version of the store after which changes were requested, None if
            the whole table was.
        n_received: Bytes of the answer that had arrived.
    """

    __slots__ = ("feed", "detail", "sent_at", "after_version", "n_received")

    def __init__(
        self,
        feed: str,
        detail: str,
        sent_at: float,
        *,
        after_version: int | None = None,
        n_received: int = 0,
    ) -> None:
        self.feed = feed
        self.detail = detail
        self.sent_at = sent_at
        self.after_version = after_version
        self.n_received = n_received
