"""Notice between gateways that an endpoint is about to leave."""

from .frame import Frame


class LeavingNotice(Frame):
    """Gateway to gateway: an endpoint has reported that it is about to leave.

    Attributes:
        endpoint: Name of the endpoint.
        started_at: Start time that the endpoint reports; a different value means
            a different incarnation.
    """

    __slots__ = ("endpoint", "started_at")

    def __init__(self, endpoint: str, started_at: int) -> None:
        self.endpoint = endpoint
        self.started_at = started_at
