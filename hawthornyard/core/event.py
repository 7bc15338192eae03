"""Messages that the pipelines of all programs share."""

from ..errors import ErrorKind
from .message import Message


class Tick(Message):
    """Periodic tick of the program's timer.

    Attributes:
        now: Monotonic time in seconds.
    """

    __slots__ = ("now",)

    reaches_all = True

    def __init__(self, now: float) -> None:
        self.now = now


class StopRequested(Message):
    """Request to stop the program gracefully."""

    __slots__ = ()


class ReloadRequested(Message):
    """Request to reload the program's settings."""

    __slots__ = ()


class StopListening(Message):
    """Command to the I/O layer: accept no further connections from callers."""

    __slots__ = ()


class Stopped(Message):
    """Signal that no work is left and the program may exit."""

    __slots__ = ()


class PeerUp(Message):
    """Event: a connection to a peer was authenticated.

    Attributes:
        peer: Name of the connection.
    """

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer


class PeerDown(Message):
    """Event: a connection to a peer was lost or replaced.

    Attributes:
        peer: Name of the connection.
    """

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer


class Decision(Message):
    """Decision of a filter, for the decision log.

    Attributes:
        name: Kind of decision in snake case, also a metric label.
        request_id: Request that the decision concerns, empty for none.
        reason: Short explanation, empty for none.
        details: Additional fields of the log line.
    """

    __slots__ = ("name", "request_id", "reason", "details")

    def __init__(
        self,
        name: str,
        *,
        request_id: str = "",
        reason: str = "",
        **details: object,
    ) -> None:
        self.name = name
        self.request_id = request_id
        self.reason = reason
        self.details = details


class Fault(Message):
    """Error that is not tied to a request.

    Attributes:
        kind: Error kind.
        detail: Description of the error.
    """

    __slots__ = ("kind", "detail")

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        self.kind = kind
        self.detail = detail
