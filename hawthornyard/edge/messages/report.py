"""Define the messages that ask engines whether they are about to leave."""

from ...core import Message


class ReportRequested(Message):
    """A request to an engine for its state.

    Attributes:
        endpoint: Name of the engine.
        address: "address:port" of the engine.
        born: Known incarnation of the engine, a start time in Unix milliseconds.
    """

    __slots__ = ("endpoint", "address", "born")

    def __init__(self, endpoint: str, address: str, born: int = 0) -> None:
        self.endpoint = endpoint
        self.address = address
        self.born = born


class ReportFailed(Message):
    """A report that could not be fetched.

    Attributes:
        endpoint: Name of the engine.
        born: Incarnation that was asked, a start time in Unix milliseconds.
        is_refused: Whether the host refused the connection, so that no process listens
            at the address.
    """

    __slots__ = ("endpoint", "born", "is_refused")

    def __init__(self, endpoint: str, born: int, *, is_refused: bool) -> None:
        self.endpoint = endpoint
        self.born = born
        self.is_refused = is_refused


class ReportRead(Message):
    """The state that an engine reports.

    Attributes:
        endpoint: Name of the engine.
        born: Start time in Unix milliseconds; another value means another incarnation.
        is_leaving: Whether it is about to leave.
    """

    __slots__ = ("endpoint", "born", "is_leaving")

    def __init__(self, endpoint: str, born: int, *, is_leaving: bool) -> None:
        self.endpoint = endpoint
        self.born = born
        self.is_leaving = is_leaving
