"""Define the messages that the edge filters exchange."""

from .answer import (
    AttemptAnswered,
    AttemptBegan,
    AttemptBroke,
    AttemptEnd,
    AttemptEnded,
    AttemptEvents,
    AttemptRefused,
    Event,
)
from .call import Call, GenerationSize
from .copy import CopyAnswered, CopyDropped, CopyRequested, CopySource, RunCopy
from .crash import EndpointEnded
from .dispatch import Cancel, Dispatch
from .notice import EndpointNotice, LimitChanged
from .pace import PaceRead, ProbeRequested
from .reply import ReplyBegan, ReplyEvents
from .report import ReportFailed, ReportRead, ReportRequested
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
    "AttemptEnd",
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
    "EndpointEnded",
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
    "PaceRead",
    "PartAccused",
    "ProbeRequested",
    "ReplyBegan",
    "ReplyEvents",
    "ReportFailed",
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
    "RunCopy",
    "StoreAnswered",
    "StoreFailed",
    "StoreRestored",
]
