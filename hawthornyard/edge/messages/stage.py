"""Define the messages of the stages that a request passes."""

from ...core import Message
from ...errors import ErrorKind
from .request import Request


class Matched(Message):
    """A request whose route, team and deadline are known."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Dequeued(Message):
    """A request that leaves the queue."""

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request = request


class Routed(Message):
    """A request with the endpoint chosen for its next attempt."""

    __slots__ = ("request", "endpoint")

    def __init__(self, request: Request, endpoint: str) -> None:
        self.request = request
        self.endpoint = endpoint


class AttemptFailed(Message):
    """A failed attempt that may be retried.

    Attributes:
        request: The request.
        kind: Kind of error that ended the attempt.
        detail: Description of the failure.
        reply: The endpoint's error answer, forwarded if there is no retry; None if it
            gave none.
    """

    __slots__ = ("request", "kind", "detail", "reply")

    def __init__(
        self,
        request: Request,
        kind: ErrorKind,
        detail: str = "",
        reply: Message | None = None,
    ) -> None:
        self.request = request
        self.kind = kind
        self.detail = detail
        self.reply = reply


class Closed(Message):
    """A request whose answer is complete; `kind` is None for success."""

    __slots__ = ("request", "kind")

    def __init__(self, request: Request, kind: ErrorKind | None = None) -> None:
        self.request = request
        self.kind = kind


class PartAccused(Message):
    """A part of prompts on which endpoints have ended as they began to answer."""

    __slots__ = ("part",)

    def __init__(self, part: str) -> None:
        self.part = part
