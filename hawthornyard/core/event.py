"""Hold the messages that every program's pipeline knows."""

from ..errors import ErrorKind
from .message import Message


class Tick(Message):
    """A timer that fired.

    Attributes:
        now: Monotonic seconds.
    """

    __slots__ = ("now",)

    def __init__(self, now: float) -> None:
        self.now = now


class StopRequested(Message):
    """The program was asked to stop gracefully."""

    __slots__ = ()


class ReloadRequested(Message):
    """The program was told that its settings have changed."""

    __slots__ = ()


class StopListening(Message):
    """An order to the rim: accept no further connection of callers."""

    __slots__ = ()


class Stopped(Message):
    """The program holds no work any longer and may exit."""

    __slots__ = ()


class PeerUp(Message):
    """A connection to a peer was authenticated.

    Attributes:
        peer: Name of the connection.
    """

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer


class PeerDown(Message):
    """A connection to a peer was lost or replaced.

    Attributes:
        peer: Name of the connection.
    """

    __slots__ = ("peer",)

    def __init__(self, peer: str) -> None:
        self.peer = peer


class Decision(Message):
    """A routing or placement decision, for the decision log.

    Attributes:
        name: What was decided, in snake case.
        request_id: The request it concerns, empty for none.
        reason: Why, in a few words.
        details: Scalar fields of the log line.
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
    """An error that concerns no single request.

    Attributes:
        kind: The error kind.
        detail: What happened.
    """

    __slots__ = ("kind", "detail")

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        self.kind = kind
        self.detail = detail
