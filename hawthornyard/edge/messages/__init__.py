"""Define the messages of the pipe."""

from .answer import (
    AttemptAnswered,
    AttemptBegan,
    AttemptBroke,
    AttemptEnded,
    AttemptEvents,
    AttemptRefused,
    Event,
)
from .call import Call, GenerationSize
from .copy import CopyAnswered, CopyAsked, CopyDropped, CopySource
from .dispatch import Cancel, Dispatch
from .news import (
    DeploymentRead,
    DomainsRead,
    EndpointEntry,
    EndpointLeaving,
    EndpointsRead,
    GatewaysRead,
    Origin,
    StoreAnswered,
    StoreFailed,
)
from .reply import ReplyBegan, ReplyEvents
from .report import ReportAsked, ReportRead
from .request import Attempt, Migration, Request
from .stage import AttemptFailed, Closed, Matched, Released, Routed

__all__ = [
    "Attempt",
    "AttemptAnswered",
    "AttemptBegan",
    "AttemptBroke",
    "AttemptEnded",
    "AttemptEvents",
    "AttemptFailed",
    "AttemptRefused",
    "Call",
    "Cancel",
    "Closed",
    "CopyAnswered",
    "CopyAsked",
    "CopyDropped",
    "CopySource",
    "DeploymentRead",
    "Dispatch",
    "DomainsRead",
    "EndpointEntry",
    "EndpointLeaving",
    "EndpointsRead",
    "Event",
    "GatewaysRead",
    "GenerationSize",
    "Matched",
    "Migration",
    "Origin",
    "Released",
    "ReplyBegan",
    "ReplyEvents",
    "ReportAsked",
    "ReportRead",
    "Request",
    "Routed",
    "StoreAnswered",
    "StoreFailed",
]
