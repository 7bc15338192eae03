"""Keep what the gateway believes about the deployment and its endpoints.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints and WatchEngines;
ShareLoads is its end, where it sees what was dispatched.
"""

from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "FollowDeployment",
    "FollowEndpoints",
    "FollowStore",
    "ShareLoads",
    "WatchEngines",
]
