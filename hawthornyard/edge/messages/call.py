"""Define what a caller sends, decoded."""

from collections.abc import Sequence

from ...core import Message


class GenerationSize(Message):
    """What a caller says of the generation that it asks for.

    Attributes:
        model: Model name.
        n_prompt_tokens: Length of the prompt.
        max_tokens: Bound on the output.
        expected_tokens: The caller's estimate of the output, None if unknown.
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
        """Return the tokens that are expected to be generated."""
        if self.expected_tokens is None:
            return self.max_tokens
        return min(self.max_tokens, self.expected_tokens)

    @property
    def n_tokens(self) -> int:
        """Return the tokens that the whole generation is expected to hold."""
        return self.n_prompt_tokens + self.n_output_tokens


class Call(Message):
    """A caller's request; method, target, headers and body go on unchanged.

    Attributes:
        call_id: Identifier of the HTTP exchange.
        request_id: The caller's request id.
        host: Host name that the caller asked for.
        path: Path without the query.
        method: HTTP method.
        target: Path and query as they were sent.
        headers: Headers that are passed on.
        body: Whole body.
        key: Team key, empty if none was sent.
        timeout_s: Seconds that the caller waits, None if it did not say.
        size: What a generation will need, None for a plain request.
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
