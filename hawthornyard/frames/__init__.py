"""Define the protocol between gateways and sidecars."""

from .attempt import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    Dispatch,
    Ended,
    Failed,
    Refused,
    Replied,
    Tokens,
    Unknown,
)
from .config import ConfigPull, ConfigPush, RecordEntry
from .direction import (
    GATEWAY_TO_SIDECAR,
    SENT_BY_GATEWAY,
    SENT_BY_SIDECAR,
    SIDECAR_TO_GATEWAY,
)
from .frame import Frame
from .greeting import Hello, Proof
from .heartbeat import GatewayBeat, Heartbeat, Subscribe
from .leaving import LeavingTold
from .limit import Demand, Portion
from .loads import EndpointLoad, GatewayLoads
from .plan import Loaded, PlanEntry, PlanPush
from .work import Generation, ServiceCall, Work

__all__ = [
    "GATEWAY_TO_SIDECAR",
    "SENT_BY_GATEWAY",
    "SENT_BY_SIDECAR",
    "SIDECAR_TO_GATEWAY",
    "Accepted",
    "Ack",
    "Attach",
    "Cancel",
    "ConfigPull",
    "ConfigPush",
    "Demand",
    "Dispatch",
    "Ended",
    "EndpointLoad",
    "Failed",
    "Frame",
    "GatewayBeat",
    "GatewayLoads",
    "Generation",
    "Heartbeat",
    "Hello",
    "LeavingTold",
    "Loaded",
    "PlanEntry",
    "PlanPush",
    "Portion",
    "Proof",
    "RecordEntry",
    "Refused",
    "Replied",
    "ServiceCall",
    "Subscribe",
    "Tokens",
    "Unknown",
    "Work",
]
