"""Define the frame by which a gateway tells the others that an endpoint leaves."""

from .frame import Frame


class LeavingTold(Frame):
    """Gateway to gateway: an endpoint said that it is about to leave.

    Attributes:
        endpoint: Name of the endpoint.
        born: When it started; another value is another incarnation.
    """

    __slots__ = ("endpoint", "born")

    def __init__(self, endpoint: str, born: int) -> None:
        self.endpoint = endpoint
        self.born = born
