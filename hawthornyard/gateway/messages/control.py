"""Messages to the I/O layer: configuration changes and connection requests."""

from ...core import Message


class ConfigChanged(Message):
    """Newer records are in force.

    Attributes:
        revision: Revision now in force.
        before: Revision that was in force before.
    """

    __slots__ = ("revision", "before")

    def __init__(self, revision: int, before: int) -> None:
        self.revision = revision
        self.before = before


class LinkRequested(Message):
    """Request to connect to a sidecar that may be outside the subset.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint


class HeartbeatIntervalChanged(Message):
    """The heartbeat interval changed, and with it the idle timeout of peer links.

    Attributes:
        interval_s: Seconds between heartbeats.
    """

    __slots__ = ("interval_s",)

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s


class ConnectionSuspected(Message):
    """Request to replace a connection to a peer that may be half-open."""

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer
