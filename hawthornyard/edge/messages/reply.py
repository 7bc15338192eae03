"""Define the parts of a streamed answer on its way to the caller."""

from collections.abc import Sequence

from ...core import Message


class ReplyBegan(Message):
    """The start of a streamed answer."""

    __slots__ = ("call_id", "status", "headers")

    def __init__(
        self, call_id: str, status: int, headers: Sequence[tuple[str, str]]
    ) -> None:
        self.call_id = call_id
        self.status = status
        self.headers = headers


class ReplyEvents(Message):
    """Encoded consecutive events for a caller."""

    __slots__ = ("call_id", "data")

    def __init__(self, call_id: str, data: bytes) -> None:
        self.call_id = call_id
        self.data = data

    @property
    def n_payload_bytes(self) -> int:
        """Return the size of the events in bytes."""
        return len(self.data)
