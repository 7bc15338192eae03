"""Define the frames by which gateways that call endpoints tell their load."""

from collections.abc import Sequence

from ..core import Message
from .frame import Frame


class EndpointLoad(Message):
    """What one gateway runs at one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        n_running: Requests that the gateway runs there.
        n_tokens: Tokens that those and their mirrors are expected to hold.
        n_unread: Prompt tokens of those that have no output yet.
        prefill_rate: Prompt tokens a second that it was seen to read, 0 if unknown.
    """

    __slots__ = ("endpoint", "n_running", "n_tokens", "n_unread", "prefill_rate")

    def __init__(
        self,
        endpoint: str,
        n_running: int,
        n_tokens: int,
        n_unread: int = 0,
        prefill_rate: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.n_running = n_running
        self.n_tokens = n_tokens
        self.n_unread = n_unread
        self.prefill_rate = prefill_rate


class GatewayLoads(Frame):
    """Gateway to gateway: what the gateway runs.

    Attributes:
        name: Name of the gateway.
        sequence: Number of the report; a smaller one came late.
        loads: Endpoints that it runs something at.
        is_whole: Whether it runs nothing at other endpoints.
    """

    __slots__ = ("name", "sequence", "loads", "is_whole")

    def __init__(
        self,
        name: str,
        sequence: int,
        loads: Sequence[EndpointLoad],
        is_whole: bool = True,
    ) -> None:
        self.name = name
        self.sequence = sequence
        self.loads = loads
        self.is_whole = is_whole
