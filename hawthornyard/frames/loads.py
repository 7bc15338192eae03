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
        n_prefill_tokens: Prompt tokens of those that have no output yet.
        prefill_tokens_per_s: Measured prefill rate in prompt tokens a second, 0 if
            unknown.
    """

    __slots__ = (
        "endpoint",
        "n_running",
        "n_tokens",
        "n_prefill_tokens",
        "prefill_tokens_per_s",
    )

    def __init__(
        self,
        endpoint: str,
        n_running: int,
        n_tokens: int,
        n_prefill_tokens: int = 0,
        prefill_tokens_per_s: float = 0.0,
    ) -> None:
        self.endpoint = endpoint
        self.n_running = n_running
        self.n_tokens = n_tokens
        self.n_prefill_tokens = n_prefill_tokens
        self.prefill_tokens_per_s = prefill_tokens_per_s


class GatewayLoads(Frame):
    """Gateway to gateway: what the gateway runs.

    Attributes:
        name: Name of the gateway.
        sequence: Number of the report; a smaller one came late.
        loads: Endpoints that it runs something at.
        is_complete: Whether it runs nothing at other endpoints.
    """

    __slots__ = ("name", "sequence", "loads", "is_complete")

    def __init__(
        self,
        name: str,
        sequence: int,
        loads: Sequence[EndpointLoad],
        is_complete: bool = True,
    ) -> None:
        self.name = name
        self.sequence = sequence
        self.loads = loads
        self.is_complete = is_complete
