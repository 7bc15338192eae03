"""Define the messages to endpoints about attempts."""

from ...core import Message
from .call import Call
from .copy import CopySource


class Dispatch(Message):
    """An attempt on its way to an endpoint.

    Attributes:
        attempt_id: Identifier of the attempt.
        call: The caller's request.
        address: "address:port" of the endpoint.
        endpoint: Name of the endpoint; another one at the address refuses the attempt.
        born: Incarnation of the endpoint, a start time in Unix milliseconds.
        team: Name of the team, empty for none.
        priority: Scheduling priority; 0 goes first.
        timeout_s: Seconds left for the answer.
        is_stream: Whether the answer is a stream of events.
        source: The copy to resume from, None to start from the prompt.
        mirror_address: "address:port" of the endpoint that mirrors it, empty for none.
    """

    __slots__ = (
        "attempt_id",
        "call",
        "address",
        "endpoint",
        "born",
        "team",
        "priority",
        "timeout_s",
        "is_stream",
        "source",
        "mirror_address",
    )

    def __init__(
        self,
        attempt_id: str,
        call: Call,
        address: str,
        endpoint: str,
        *,
        born: int = 0,
        team: str = "",
        priority: int = 0,
        timeout_s: float = 0.0,
        is_stream: bool = False,
        source: CopySource | None = None,
        mirror_address: str = "",
    ) -> None:
        self.attempt_id = attempt_id
        self.call = call
        self.address = address
        self.endpoint = endpoint
        self.born = born
        self.team = team
        self.priority = priority
        self.timeout_s = timeout_s
        self.is_stream = is_stream
        self.source = source
        self.mirror_address = mirror_address


class Cancel(Message):
    """A request to cancel an attempt and drop its output."""

    __slots__ = ("attempt_id",)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
