"""Describe the work that a request asks an endpoint to do."""

from collections.abc import Sequence

from ..core import Message


class Generation(Message):
    """A language model generation.

    Attributes:
        model: Name of the model record.
        prompt: The whole prompt as text.
        max_tokens: Upper bound on output tokens.
        temperature: Sampling temperature.
        priority: Engine priority, larger goes first.
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
    """One HTTP call to a plain service.

    Attributes:
        method: HTTP method.
        path: Path below the service, with its query.
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
