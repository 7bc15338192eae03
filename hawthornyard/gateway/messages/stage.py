"""Messages that mark the stages of a request in the pipeline."""

from ...core import Message
from ...errors import ErrorKind
from ...records import Team
from .call import Call, Reconnect
from .reply import ReplyResponse
from .request import Request


class CallAuthenticated(Message):
    """A call with a valid team key."""

    __slots__ = ("call", "team")

    def __init__(self, call: Call, team: Team) -> None:
        self.call = call
        self.team = team


class ReconnectAuthenticated(Message):
    """A reconnecting caller with a valid team key."""

    __slots__ = ("call", "team")

    def __init__(self, call: Reconnect, team: Team) -> None:
        self.call = call
        self.team = team


class ModelsQueryAuthenticated(Message):
    """A models query with a valid team key."""

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
    """A request whose service, priority and deadline are determined."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Admitted(_RequestMessage):
    """A request to be queued: it is within its team's limits, or is retried."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Dequeued(_RequestMessage):
    """A request that left the queue because an endpoint has capacity."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routable(_RequestMessage):
    """A request whose idempotency key is claimed, or that needs no claim."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routed(_RequestMessage):
    """A request whose next endpoint is chosen."""

    __slots__ = ("request", "endpoint")

    def __init__(self, request: Request, endpoint: str) -> None:
        self.request = request
        self.endpoint = endpoint


class AttemptFailed(_RequestMessage):
    """A failed attempt that may be retried.

    Attributes:
        request: The request.
        kind: Why the attempt failed.
        detail: Description of the failure, empty for none.
    """

    __slots__ = ("request", "kind", "detail")

    def __init__(self, request: Request, kind: ErrorKind, detail: str = "") -> None:
        self.request = request
        self.kind = kind
        self.detail = detail


class Closed(_RequestMessage):
    """A request whose final reply was sent.

    Attributes:
        request: The request.
        kind: Error kind, None for success.
        outcome: Response to record for a claimed key, None for none.
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
