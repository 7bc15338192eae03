"""Define the decoded request of a caller."""

from collections.abc import Sequence

from ...core import Message


class GenerationSize(Message):
    """Size of a requested generation, as the caller declares it.

    Attributes:
        model: Model name.
        n_prompt_tokens: Length of the prompt in tokens.
        max_tokens: Largest length of the output in tokens.
        expected_tokens: The caller's estimate of the output length in tokens, None if
            unknown.
        prefix: Identifiers of the parts of the prompt, in order.
    """

    __slots__ = ("model", "n_prompt_tokens", "max_tokens", "expected_tokens", "prefix")

    def __init__(
        self,
        model: str,
        n_prompt_tokens: int,
        max_tokens: int,
        *,
        expected_tokens: int | None = None,
        prefix: Sequence[str] = (),
    ) -> None:
        self.model = model
        self.n_prompt_tokens = n_prompt_tokens
        self.max_tokens = max_tokens
        self.expected_tokens = expected_tokens
        self.prefix = prefix

    @property
    def n_output_tokens(self) -> int:
        """Return the expected output tokens, `max_tokens` without an estimate."""
        if self.expected_tokens is None:
            return self.max_tokens
        return min(self.max_tokens, self.expected_tokens)

    @property
    def n_tokens(self) -> int:
        """Return the expected length of prompt and output in tokens."""
        return self.n_prompt_tokens + self.n_output_tokens


class Call(Message):
    """A caller's request; method, target, headers and body are forwarded unchanged.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        host: Host name in the request.
        path: Path without the query.
        method: HTTP method.
        target: Path and query as they were sent.
        headers: Headers that are forwarded.
        body: Whole body.
        key: Team key, empty if none was sent.
        timeout_s: Seconds that the caller waits, None if not given.
        size: Size of the generation, None for a plain request.
    """

    __slots__ = (
        "call_id",
        "request_id",
        "host",
        "path",
        "method",
        "target",
        "headers",
        "body",
        "key",
        "timeout_s",
        "size",
    )

    def __init__(
        self,
        call_id: str,
        request_id: str,
        host: str,
        path: str,
        *,
        method: str = "GET",
        target: str = "",
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        key: str = "",
        timeout_s: float | None = None,
        size: GenerationSize | None = None,
    ) -> None:
        self.call_id = call_id
        self.request_id = request_id
        self.host = host
        self.path = path
        self.method = method
        self.target = target or path
        self.headers = headers
        self.body = body
        self.key = key
        self.timeout_s = timeout_s
        self.size = size
