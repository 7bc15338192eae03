"""Frame types by sender and receiver."""

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
from .config import ConfigPull, ConfigPush
from .frame import Frame
from .heartbeat import GatewayHeartbeat, Heartbeat, Subscribe
from .limit import TeamDemand, TeamLimitShare
from .plan import LoadedReport, PlanPush

FrameTypes = tuple[type[Frame], ...]

GATEWAY_TO_SIDECAR: FrameTypes = (Dispatch, Attach, Cancel, Ack, Subscribe, PlanPush)

GATEWAY_TO_GATEWAY: FrameTypes = (
    GatewayHeartbeat,
    TeamDemand,
    TeamLimitShare,
    ConfigPush,
    ConfigPull,
)

SIDECAR_TO_GATEWAY: FrameTypes = (
    Accepted,
    Refused,
    Tokens,
    Ended,
    Replied,
    Failed,
    Heartbeat,
    LoadedReport,
    AttemptUnknown,
    ConfigPull,
)

SENT_BY_GATEWAY: FrameTypes = GATEWAY_TO_SIDECAR + GATEWAY_TO_GATEWAY

SENT_BY_SIDECAR: FrameTypes = SIDECAR_TO_GATEWAY
