"""Keep what the gateway believes about the deployment and its endpoints.

The chain is FollowStore, FollowDeployment, FollowEndpoints, WatchEngines,
ShareLoads.
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
