"""Paces of endpoints, as gateways tell one another of them."""

from .frame import Frame


class EndpointPace(Frame):
    """Gateway to gateway: the pace that an endpoint has reported to the sender.

    Attributes:
        gateway: Name of the sending gateway.
        endpoint: Name of the endpoint.
        started_at: Start time of the endpoint; a different value means a different
            incarnation.
        factor: Time that work takes there, relative to the usual time.
        age_s: Seconds since the sender read it.
    """

    __slots__ = ("gateway", "endpoint", "started_at", "factor", "age_s")

    def __init__(
        self, gateway: str, endpoint: str, started_at: int, factor: float, age_s: float
    ) -> None:
        self.gateway = gateway
        self.endpoint = endpoint
        self.started_at = started_at
        self.factor = factor
        self.age_s = age_s
