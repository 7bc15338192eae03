"""Define the messages of the gateway's pipe."""

from .call import Call, CallerGone, ModelsQuery, Reconnect
from .claim import ClaimAnswered, ClaimAsked, ClaimSettled
from .order import (
    ConfigChanged,
    ConnectionSuspected,
    HeartbeatsExpected,
    LinkWanted,
)
from .reply import (
    ReplyEnded,
    ReplyFailed,
    ReplyModels,
    ReplyStarted,
    ReplyTokens,
    ReplyWhole,
)
from .request import Request
from .stage import (
    AttemptFailed,
    Authenticated,
    Claimed,
    Closed,
    ModelsAsked,
    Permitted,
    Reattached,
    Released,
    Resolved,
    Routed,
)

__all__ = [
    "AttemptFailed",
    "Authenticated",
    "Call",
    "CallerGone",
    "ClaimAnswered",
    "ClaimAsked",
    "ClaimSettled",
    "Claimed",
    "Closed",
    "ConfigChanged",
    "ConnectionSuspected",
    "HeartbeatsExpected",
    "LinkWanted",
    "ModelsAsked",
    "ModelsQuery",
    "Permitted",
    "Reattached",
    "Reconnect",
    "Released",
    "ReplyEnded",
    "ReplyFailed",
    "ReplyModels",
    "ReplyStarted",
    "ReplyTokens",
    "ReplyWhole",
    "Request",
    "Resolved",
    "Routed",
]
