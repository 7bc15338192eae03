"""Heartbeats of sidecars and gateways."""

from .frame import Frame


class Heartbeat(Frame):
    """Sidecar to gateway: the state of an endpoint.

    Attributes:
        endpoint: Name of the endpoint record.
        incarnation: Unique identifier of the sidecar process.
        revision: Configuration revision in force.
        is_accepting: Whether the sidecar accepts new attempts.
        n_running: Number of attempts that run at the endpoint.
        n_waiting: Number of attempts in the sidecar's queue.
        limit: Current concurrency limit, in attempts.
        load: Memory that the running attempts are expected to need, margin included,
            as a fraction of the endpoint's memory; may exceed 1.
    """

    __slots__ = (
        "endpoint",
        "incarnation",
        "revision",
        "is_accepting",
        "n_running",
        "n_waiting",
        "limit",
        "load",
    )

    def __init__(
        self,
        endpoint: str,
        incarnation: str,
        revision: int,
        is_accepting: bool,
        n_running: int,
        n_waiting: int,
        limit: int,
        load: float,
    ) -> None:
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.revision = revision
        self.is_accepting = is_accepting
        self.n_running = n_running
        self.n_waiting = n_waiting
        self.limit = limit
        self.load = load


class Subscribe(Frame):
    """Gateway to sidecar: set the heartbeat interval of this connection.

    Attributes:
        interval_s: Seconds between heartbeats while nothing changes.
    """

    __slots__ = ("interval_s",)

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s


class GatewayHeartbeat(Frame):
    """Gateway to gateway: the state of a gateway.

    Attributes:
        revision: Configuration revision in force.
        is_stopping: Whether the gateway is shutting down.
    """

    __slots__ = ("revision", "is_stopping")

    def __init__(self, revision: int, is_stopping: bool) -> None:
        self.revision = revision
        self.is_stopping = is_stopping
