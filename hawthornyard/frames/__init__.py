"""Frames that gateways and sidecars exchange."""

from .attempt import (
    Accepted,
    Ack,
    Attach,
    AttemptUnknown,
    Cancel,
    Dispatch,
    Ended,
    Failed,
    Refused,
    Replied,
    Tokens,
)
from .config import ConfigPull, ConfigPush, RecordEntry
from .crash import (
    CrashReport,
    CrashReportsRequested,
    PartsSound,
    PossibleCrashReport,
)
from .direction import (
    GATEWAY_TO_SIDECAR,
    SENT_BY_GATEWAY,
    SENT_BY_SIDECAR,
    SIDECAR_TO_GATEWAY,
)
from .endpoint_limit import EndpointLimit
from .endpoint_pace import EndpointPace
from .frame import Frame
from .greeting import Hello, Proof
from .heartbeat import GatewayHeartbeat, Heartbeat, Subscribe
from .leaving import LeavingNotice
from .limit import TeamDemand, TeamLimitShare
from .loads import EndpointLoad, GatewayLoads
from .plan import LoadedReport, PlanEntry, PlanPush
from .rollout import RolloutCounts, RolloutShare, RolloutTally
from .work import Generation, ServiceCall, Work

__all__ = [
    "GATEWAY_TO_SIDECAR",
    "SENT_BY_GATEWAY",
    "SENT_BY_SIDECAR",
    "SIDECAR_TO_GATEWAY",
    "Accepted",
    "Ack",
    "Attach",
    "AttemptUnknown",
    "Cancel",
    "ConfigPull",
    "ConfigPush",
    "CrashReport",
    "CrashReportsRequested",
    "Dispatch",
    "Ended",
    "EndpointLimit",
    "EndpointLoad",
    "EndpointPace",
    "Failed",
    "Frame",
    "GatewayHeartbeat",
    "GatewayLoads",
    "Generation",
    "Heartbeat",
    "Hello",
    "LeavingNotice",
    "LoadedReport",
    "PartsSound",
    "PossibleCrashReport",
    "PlanEntry",
    "PlanPush",
    "Proof",
    "RecordEntry",
    "Refused",
    "Replied",
    "RolloutCounts",
    "RolloutShare",
    "RolloutTally",
    "ServiceCall",
    "Subscribe",
    "TeamDemand",
    "TeamLimitShare",
    "Tokens",
    "Work",
]
