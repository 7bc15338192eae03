"""Messages that carry replies to callers."""

from collections.abc import Sequence

from ...core import Message
from ...errors import ErrorKind


class ReplyStarted(Message):
    """An attempt was dispatched to an endpoint, or is resumed by its caller."""

    __slots__ = ("call_id", "endpoint", "attempt_id")

    def __init__(self, call_id: str, endpoint: str, attempt_id: str) -> None:
        self.call_id = call_id
        self.endpoint = endpoint
        self.attempt_id = attempt_id


class ReplyTokens(Message):
    """Consecutive tokens for a caller.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        endpoint: Endpoint that runs the attempt.
        attempt_id: Attempt that generated the tokens.
        offset: Index of the first token in the output, from 0.
        texts: Text of each token.
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

    @property
    def n_payload_bytes(self) -> int:
        """Return the approximate size of the texts in bytes."""
        return sum(map(len, self.texts))


class ReplyEnded(Message):
    """A generation is complete and all of its tokens were relayed.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        n_tokens: Number of output tokens.
        reason: Finish reason of the engine ("stop", "length").
        n_prompt_tokens: Number of prompt tokens, 0 if unknown.
    """

    __slots__ = ("call_id", "n_tokens", "reason", "n_prompt_tokens")

    def __init__(
        self, call_id: str, n_tokens: int, reason: str, n_prompt_tokens: int = 0
    ) -> None:
        self.call_id = call_id
        self.n_tokens = n_tokens
        self.reason = reason
        self.n_prompt_tokens = n_prompt_tokens


class ReplyResponse(Message):
    """The HTTP response of a plain service.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        status: HTTP status code.
        headers: Pairs of name and value.
        body: Response body.
        replayed: Whether it is the recorded response to an earlier request.
    """

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

    @property
    def n_payload_bytes(self) -> int:
        """Return the size of the body in bytes."""
        return len(self.body)


class ReplyFailed(Message):
    """A request failed.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        kind: Error kind, which selects the response in `errors.ANSWERS`.
        detail: Description of the failure, empty for none.
        n_delivered: Number of tokens relayed to the caller before the failure.
        retry_after_s: Seconds before a retry, None for the default of the error kind.
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
    """Names of the models that a team may use."""

    __slots__ = ("call_id", "models")

    def __init__(self, call_id: str, models: Sequence[str]) -> None:
        self.call_id = call_id
        self.models = models
