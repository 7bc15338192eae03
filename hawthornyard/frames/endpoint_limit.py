"""Limits that endpoints name, as gateways tell one another of them."""

from .frame import Frame


class EndpointLimit(Frame):
    """Gateway to gateway: an endpoint's limit and what the sender has used of it.

    Attributes:
        gateway: Name of the sending gateway.
        endpoint: Name of the endpoint.
        started_at: Start time of the endpoint; a different value means a different
            incarnation.
        n_sent: Requests that the sender has sent to this incarnation.
        is_limited: Whether the endpoint names a limit.
        per_s: Requests a second from all gateways together, 0 without a limit.
        asked_age_s: Seconds since the request was sent whose answer told it.
        heard_age_s: Seconds since an answer told it last.
    """

    __slots__ = (
        "gateway",
        "endpoint",
        "started_at",
        "n_sent",
        "is_limited",
        "per_s",
        "asked_age_s",
        "heard_age_s",
    )

    def __init__(
        self,
        gateway: str,
        endpoint: str,
        started_at: int,
        n_sent: int,
        is_limited: bool,
        per_s: float,
        asked_age_s: float,
        heard_age_s: float,
    ) -> None:
        self.gateway = gateway
        self.endpoint = endpoint
        self.started_at = started_at
        self.n_sent = n_sent
        self.is_limited = is_limited
        self.per_s = per_s
        self.asked_age_s = asked_age_s
        self.heard_age_s = heard_age_s
