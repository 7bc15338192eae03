"""Define orders to the rim and news of the configuration."""

from ...core import Message


class ConfigChanged(Message):
    """The records in force changed.

    Attributes:
        revision: Revision now in force.
        before: Revision in force before.
    """

    __slots__ = ("revision", "before")

    def __init__(self, revision: int, before: int) -> None:
        self.revision = revision
        self.before = before


class LinkRequested(Message):
    """An order to the rim: connect to a sidecar outside the subset.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint


class HeartbeatIntervalChanged(Message):
    """An order to the rim: replace a connection that is silent for longer.

    Attributes:
        interval_s: Seconds between heartbeats.
    """

    __slots__ = ("interval_s",)

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s


class ConnectionSuspected(Message):
    """An order to the rim: replace the connection to a peer."""

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer
