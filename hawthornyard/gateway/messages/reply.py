"""Define what goes back to callers."""

from collections.abc import Sequence

from ...core import Message
from ...errors import ErrorKind


class ReplyStarted(Message):
    """The caller's generation was dispatched to an endpoint."""

    __slots__ = ("call_id", "endpoint", "attempt_id")

    def __init__(self, call_id: str, endpoint: str, attempt_id: str) -> None:
        self.call_id = call_id
        self.endpoint = endpoint
        self.attempt_id = attempt_id


class ReplyTokens(Message):
    """Consecutive tokens for a caller.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        endpoint: Endpoint that generates.
        attempt_id: The attempt.
        offset: Number of the first token.
        texts: One text a token.
    """

    __slots__ = ("call_id", "endpoint", "attempt_id", "offset", "texts")

    def __init__(
        self,
        call_id: str,
        endpoint: str,
        attempt_id: str,
        offset: int,
        texts: Sequence[str],
    ) -> None:
        self.call_id = call_id
        self.endpoint = endpoint
        self.attempt_id = attempt_id
        self.offset = offset
        self.texts = texts


class ReplyEnded(Message):
    """The whole generation was delivered."""

    __slots__ = ("call_id", "n_tokens", "reason", "n_prompt_tokens")

    def __init__(
        self, call_id: str, n_tokens: int, reason: str, n_prompt_tokens: int = 0
    ) -> None:
        self.call_id = call_id
        self.n_tokens = n_tokens
        self.reason = reason
        self.n_prompt_tokens = n_prompt_tokens


class ReplyResponse(Message):
    """The whole answer of a plain service."""

    __slots__ = ("call_id", "status", "headers", "body", "replayed")

    def __init__(
        self,
        call_id: str,
        status: int,
        headers: Sequence[Sequence[str]],
        body: bytes,
        replayed: bool = False,
    ) -> None:
        self.call_id = call_id
        self.status = status
        self.headers = headers
        self.body = body
        self.replayed = replayed


class ReplyFailed(Message):
    """A request that ends in an error.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        kind: Row of the answer table.
        detail: What happened.
        n_delivered: Tokens that the caller got before.
        retry_after_s: Seconds to wait before the next try, None for the table's.
    """

    __slots__ = ("call_id", "kind", "detail", "n_delivered", "retry_after_s")

    def __init__(
        self,
        call_id: str,
        kind: ErrorKind,
        detail: str = "",
        n_delivered: int = 0,
        retry_after_s: float | None = None,
    ) -> None:
        self.call_id = call_id
        self.kind = kind
        self.detail = detail
        self.n_delivered = n_delivered
        self.retry_after_s = retry_after_s


class ReplyModels(Message):
    """The names of the models that a team may use."""

    __slots__ = ("call_id", "models")

    def __init__(self, call_id: str, models: Sequence[str]) -> None:
        self.call_id = call_id
        self.models = models
