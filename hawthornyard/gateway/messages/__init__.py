"""Messages of the gateway's pipeline."""

from .call import Call, CallerGone, ModelsQuery, Reconnect
from .claim import ClaimAnswered, ClaimRequested, ClaimSettled
from .control import (
    ConfigChanged,
    ConnectionSuspected,
    HeartbeatIntervalChanged,
    LinkRequested,
)
from .reply import (
    ReplyEnded,
    ReplyFailed,
    ReplyModels,
    ReplyResponse,
    ReplyStarted,
    ReplyTokens,
)
from .request import Request
from .stage import (
    Admitted,
    AttemptFailed,
    CallAuthenticated,
    Closed,
    Dequeued,
    ModelsQueryAuthenticated,
    ReconnectAuthenticated,
    Resolved,
    Routable,
    Routed,
)

__all__ = [
    "AttemptFailed",
    "CallAuthenticated",
    "Call",
    "CallerGone",
    "ClaimAnswered",
    "ClaimRequested",
    "ClaimSettled",
    "Routable",
    "Closed",
    "ConfigChanged",
    "ConnectionSuspected",
    "HeartbeatIntervalChanged",
    "LinkRequested",
    "ModelsQueryAuthenticated",
    "ModelsQuery",
    "Admitted",
    "ReconnectAuthenticated",
    "Reconnect",
    "Dequeued",
    "ReplyEnded",
    "ReplyFailed",
    "ReplyModels",
    "ReplyStarted",
    "ReplyTokens",
    "ReplyResponse",
    "Request",
    "Resolved",
    "Routed",
]
