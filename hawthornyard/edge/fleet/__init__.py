"""Keep the gateway's view of the deployment, endpoints and other gateways.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints, FollowNotices,
FollowPrefills, WatchEngines and TrackCrashes; ShareLimits and ShareLoads are its last
filters, so that they see each dispatch.
"""

from .crashes import TrackCrashes
from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .limits import ShareLimits
from .notices import FollowNotices
from .prefills import FollowPrefills
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "FollowDeployment",
    "FollowEndpoints",
    "FollowNotices",
    "FollowPrefills",
    "FollowStore",
    "ShareLimits",
    "ShareLoads",
    "TrackCrashes",
    "WatchEngines",
]
