"""Keep the gateway's view of the deployment, endpoints and other gateways.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints, FollowNotices,
WatchEngines, ConfirmCrashes and TrackCrashes; ShareLimits and ShareLoads are its last
filters, so that they see each dispatch.
"""

from .confirm import ConfirmCrashes
from .crashes import TrackCrashes
from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .limits import ShareLimits
from .notices import FollowNotices
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "ConfirmCrashes",
    "FollowDeployment",
    "FollowEndpoints",
    "FollowNotices",
    "FollowStore",
    "ShareLimits",
    "ShareLoads",
    "TrackCrashes",
    "WatchEngines",
]
