"""Define the frame by which a gateway tells the others that an endpoint leaves."""

from .frame import Frame


class LeavingNotice(Frame):
    """Gateway to gateway: an endpoint said that it is about to leave.

    Attributes:
        endpoint: Name of the endpoint.
        started_at: When it started; another value is another incarnation.
    """

    __slots__ = ("endpoint", "started_at")

    def __init__(self, endpoint: str, started_at: int) -> None:
        self.endpoint = endpoint
        self.started_at = started_at
