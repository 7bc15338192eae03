"""Keep the gateway's view of the deployment, endpoints and other gateways.

The chain begins with FollowStore, FollowDeployment, FollowEndpoints, FollowNotices,
FollowPrefills, WatchEngines, ConfirmCrashes and TrackCrashes; ShareLimits, SharePaces,
ProbePaces and ShareLoads are its last filters, so that they see each dispatch and each
pace.
"""

from .confirm import ConfirmCrashes
from .crashes import TrackCrashes
from .deployment import FollowDeployment
from .endpoints import FollowEndpoints
from .limits import ShareLimits
from .notices import FollowNotices
from .paces import SharePaces
from .prefills import FollowPrefills
from .probe import ProbePaces
from .rollout_lead import LeadRollouts
from .rollout_share import ShareRollouts
from .rollouts import FollowRollouts
from .share import ShareLoads
from .store import FollowStore
from .watch import WatchEngines

__all__ = [
    "ConfirmCrashes",
    "FollowDeployment",
    "FollowEndpoints",
    "FollowNotices",
    "FollowPrefills",
    "FollowRollouts",
    "FollowStore",
    "LeadRollouts",
    "ProbePaces",
    "ShareLimits",
    "ShareLoads",
    "SharePaces",
    "ShareRollouts",
    "TrackCrashes",
    "WatchEngines",
]
