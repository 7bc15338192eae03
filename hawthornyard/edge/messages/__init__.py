"""Define the messages that the edge filters exchange."""

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
from .copy import CopyAnswered, CopyDropped, CopyRequested, CopySource
from .dispatch import Cancel, Dispatch
from .notice import EndpointNotice, LimitChanged
from .reply import ReplyBegan, ReplyEvents
from .report import ReportRead, ReportRequested
from .request import Attempt, Migration, Request
from .rollout import (
    EndpointRetired,
    RolloutCallFailed,
    RolloutOrderRead,
    RolloutRead,
    RolloutReadRequested,
    RolloutWriteRequested,
    RolloutWritten,
)
from .stage import AttemptFailed, Closed, Dequeued, Matched, PartAccused, Routed
from .updates import (
    DeploymentRead,
    DomainsRead,
    EndpointEntry,
    EndpointLeaving,
    EndpointsRead,
    GatewaysRead,
    Origin,
    StoreAnswered,
    StoreFailed,
    StoreRestored,
)

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
    "CopyDropped",
    "CopyRequested",
    "CopySource",
    "DeploymentRead",
    "Dequeued",
    "Dispatch",
    "DomainsRead",
    "EndpointEntry",
    "EndpointLeaving",
    "EndpointNotice",
    "EndpointRetired",
    "EndpointsRead",
    "Event",
    "GatewaysRead",
    "GenerationSize",
    "LimitChanged",
    "Matched",
    "Migration",
    "Origin",
    "PartAccused",
    "ReplyBegan",
    "ReplyEvents",
    "ReportRead",
    "ReportRequested",
    "Request",
    "RolloutCallFailed",
    "RolloutOrderRead",
    "RolloutRead",
    "RolloutReadRequested",
    "RolloutWriteRequested",
    "RolloutWritten",
    "Routed",
    "StoreAnswered",
    "StoreFailed",
    "StoreRestored",
]
