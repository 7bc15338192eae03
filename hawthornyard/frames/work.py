"""Work that an attempt runs at an endpoint."""

from collections.abc import Sequence

from ..core import Message


class Generation(Message):
    """Language model generation.

    Attributes:
        model: Name of the model record.
        prompt: Complete prompt text.
        max_tokens: Maximum number of output tokens.
        temperature: Sampling temperature.
        priority: Priority at the engine; higher values run first.
    """

    __slots__ = ("model", "prompt", "max_tokens", "temperature", "priority")

    def __init__(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        temperature: float = 1.0,
        priority: int = 0,
    ) -> None:
        self.model = model
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.temperature = temperature
        self.priority = priority


class ServiceCall(Message):
    """HTTP request to a plain service.

    Attributes:
        method: HTTP method.
        path: Path below the service, including the query string.
        headers: Pairs of header name and value.
        body: Request body.
    """

    __slots__ = ("method", "path", "headers", "body")

    def __init__(
        self, method: str, path: str, headers: Sequence[Sequence[str]], body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body


Work = Generation | ServiceCall
