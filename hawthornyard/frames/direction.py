"""List the frames that each program sends."""

from .frame import (
    Accepted,
    Ack,
    Attach,
    Cancel,
    ConfigPull,
    ConfigPush,
    Demand,
    Dispatch,
    Ended,
    Failed,
    Frame,
    GatewayBeat,
    Heartbeat,
    Portion,
    Refused,
    Replied,
    Subscribe,
    Tokens,
    Unknown,
)
from .plan import Loaded, PlanPush

FrameTypes = tuple[type[Frame], ...]

GATEWAY_TO_SIDECAR: FrameTypes = (Dispatch, Attach, Cancel, Ack, Subscribe, PlanPush)

GATEWAY_TO_GATEWAY: FrameTypes = (GatewayBeat, Demand, Portion, ConfigPush, ConfigPull)

SIDECAR_TO_GATEWAY: FrameTypes = (
    Accepted,
    Refused,
    Tokens,
    Ended,
    Replied,
    Failed,
    Heartbeat,
    Loaded,
    Unknown,
    ConfigPull,
)

SENT_BY_GATEWAY: FrameTypes = GATEWAY_TO_SIDECAR + GATEWAY_TO_GATEWAY

SENT_BY_SIDECAR: FrameTypes = SIDECAR_TO_GATEWAY
