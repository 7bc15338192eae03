"""Define the questions to engines whether they leave."""

from ...core import Message


class ReportRequested(Message):
    """A question to an engine: what do you say of yourself?

    Attributes:
        endpoint: Name of the engine.
        address: "address:port" where it is asked.
    """

    __slots__ = ("endpoint", "address")

    def __init__(self, endpoint: str, address: str) -> None:
        self.endpoint = endpoint
        self.address = address


class ReportRead(Message):
    """What an engine says of itself.

    Attributes:
        endpoint: Name of the engine.
        born: When it started; another value is another incarnation.
        is_leaving: Whether it is about to leave.
    """

    __slots__ = ("endpoint", "born", "is_leaving")

    def __init__(self, endpoint: str, born: int, *, is_leaving: bool) -> None:
        self.endpoint = endpoint
        self.born = born
        self.is_leaving = is_leaving
