"""Define the messages about the pace of endpoints."""

from ...core import Message


class PaceRead(Message):
    """This gateway has read the pace of an endpoint itself.

    Attributes:
        endpoint: Name of the endpoint.
    """

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint


class ProbeRequested(Message):
    """A request to an endpoint's health path, whose answer reports the pace.

    Attributes:
        endpoint: Name of the endpoint.
        address: "address:port" of the endpoint.
        path: Health path of its service.
        born: Known incarnation of the endpoint, a start time in Unix milliseconds.
    """

    __slots__ = ("endpoint", "address", "path", "born")

    def __init__(self, endpoint: str, address: str, path: str, born: int) -> None:
        self.endpoint = endpoint
        self.address = address
        self.path = path
        self.born = born
