"""List the frames that each program sends."""

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
from .config import ConfigPull, ConfigPush
from .frame import Frame
from .heartbeat import GatewayBeat, Heartbeat, Subscribe
from .limit import Demand, Portion
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
