"""Load reports between gateways that call endpoints directly."""

from collections.abc import Sequence

from ..core import Message
from .frame import Frame


class EndpointLoad(Message):
    """Load that one gateway puts on one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        n_running: Number of requests that the gateway runs there.
        n_tokens: Number of tokens that those requests, and the requests mirrored
            there, are expected to hold.
        n_prefill_tokens: Prompt tokens of the requests without output yet.
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
    """Gateway to gateway: the load that the sender puts on endpoints.

    Attributes:
        name: Name of the sending gateway.
        sequence: Sequence number; a report with a lower number than one already
            received arrived late.
        loads: Load of each reported endpoint.
        is_complete: Whether the gateway runs nothing at endpoints not in `loads`.
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
