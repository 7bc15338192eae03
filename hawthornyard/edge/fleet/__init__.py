"""Keep the gateway's view of the deployment, endpoints and other gateways.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints, FollowNotices,
WatchEngines and TrackCrashes; ShareLoads is its last filter, so that it sees each
dispatch.
"""

from .crashes import TrackCrashes
from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .notices import FollowNotices
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "FollowDeployment",
    "FollowEndpoints",
    "FollowNotices",
    "FollowStore",
    "ShareLoads",
    "TrackCrashes",
    "WatchEngines",
]
