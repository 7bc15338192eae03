"""Define the stages that a request passes."""

from ...core import Message
from ...errors import ErrorKind
from ...records import Team
from .call import Call, Reconnect
from .reply import ReplyResponse
from .request import Request


class CallAuthenticated(Message):
    """A call whose team is known."""

    __slots__ = ("call", "team")

    def __init__(self, call: Call, team: Team) -> None:
        self.call = call
        self.team = team


class ReconnectAuthenticated(Message):
    """A reconnecting caller whose team is known."""

    __slots__ = ("call", "team")

    def __init__(self, call: Reconnect, team: Team) -> None:
        self.call = call
        self.team = team


class ModelsQueryAuthenticated(Message):
    """A query for models whose team is known."""

    __slots__ = ("call_id", "team")

    def __init__(self, call_id: str, team: Team) -> None:
        self.call_id = call_id
        self.team = team


class _RequestMessage(Message):
    __slots__ = ()
    request: Request

    @property
    def call_id(self) -> str:
        """Return the identifier of the HTTP exchange."""
        return self.request.call_id


class Resolved(_RequestMessage):
    """A request whose service, class and deadline are known."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Admitted(_RequestMessage):
    """A request within its team's limits."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Dequeued(_RequestMessage):
    """A request that left the fair queue."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routable(_RequestMessage):
    """A request that may be dispatched as far as its key is concerned."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routed(_RequestMessage):
    """A request with the endpoint chosen for its next attempt."""

    __slots__ = ("request", "endpoint")

    def __init__(self, request: Request, endpoint: str) -> None:
        self.request = request
        self.endpoint = endpoint


class AttemptFailed(_RequestMessage):
    """An attempt that another attempt may follow.

    Attributes:
        request: The request.
        kind: Why the attempt failed.
        detail: What happened.
    """

    __slots__ = ("request", "kind", "detail")

    def __init__(self, request: Request, kind: ErrorKind, detail: str = "") -> None:
        self.request = request
        self.kind = kind
        self.detail = detail


class Closed(_RequestMessage):
    """A request that was answered.

    Attributes:
        request: The request.
        kind: Error kind, None for success.
        outcome: Answer to record for a claimed key, None for none.
    """

    __slots__ = ("request", "kind", "outcome")

    def __init__(
        self,
        request: Request,
        kind: ErrorKind | None = None,
        outcome: "ReplyResponse | None" = None,
    ) -> None:
        self.request = request
        self.kind = kind
        self.outcome = outcome
