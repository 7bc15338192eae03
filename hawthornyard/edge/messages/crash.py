"""Define the messages about endpoints that may have ended."""

from collections.abc import Sequence

from ...core import Message


class EndpointEnded(Message):
    """An endpoint's process has ended while requests had got nothing of their answers.

    Attributes:
        endpoint: Name of the endpoint.
        at: Monotonic time in seconds at which the first of them broke.
        prefixes: Shared parts of each request's prompt, in order.
    """

    __slots__ = ("endpoint", "at", "prefixes")

    def __init__(
        self, endpoint: str, at: float, prefixes: Sequence[Sequence[str]]
    ) -> None:
        self.endpoint = endpoint
        self.at = at
        self.prefixes = prefixes
