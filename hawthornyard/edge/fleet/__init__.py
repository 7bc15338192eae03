"""Keep the gateway's view of the deployment, endpoints and other gateways.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints, FollowNotices,
WatchEngines and TrackCrashes; ShareLimits and ShareLoads are its last filters, so
that they see each dispatch.
"""

from .crashes import TrackCrashes
from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .limits import ShareLimits
from .notices import FollowNotices
from .rollout_lead import LeadRollouts
from .rollout_share import ShareRollouts
from .rollouts import FollowRollouts
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "FollowDeployment",
    "FollowEndpoints",
    "FollowNotices",
    "FollowRollouts",
    "FollowStore",
    "LeadRollouts",
    "ShareLimits",
    "ShareLoads",
    "ShareRollouts",
    "TrackCrashes",
    "WatchEngines",
]
