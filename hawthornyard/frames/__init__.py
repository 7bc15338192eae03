"""Define the protocol between gateways and sidecars."""

from .frame import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    ConfigPush,
    Dispatch,
    Ended,
    Failed,
    Frame,
    Heartbeat,
    Hello,
    Proof,
    RecordEntry,
    Refused,
    Replied,
    Tokens,
    Unknown,
)
from .plan import Loaded, PlanEntry, PlanPush
from .work import Generation, ServiceCall, Work

__all__ = [
    "Accepted",
    "Ack",
    "Attach",
    "Cancel",
    "ConfigPush",
    "Dispatch",
    "Ended",
    "Failed",
    "Frame",
    "Generation",
    "Heartbeat",
    "Hello",
    "Loaded",
    "PlanEntry",
    "PlanPush",
    "Proof",
    "RecordEntry",
    "Refused",
    "Replied",
    "ServiceCall",
    "Tokens",
    "Unknown",
    "Work",
]
