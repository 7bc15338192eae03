"""Follow the fleet: configuration, endpoints, hosts, the plan, other gateways."""

from .config import ApplyConfig
from .fleet import MISSED_HEARTBEATS, Fleet
from .greet import Greet
from .hosts import FollowHosts, HostsListed, LeavingHosts
from .links import Subset
from .loaded import LoadedModels, TrackLoaded
from .neighbours import Neighbours
from .plan import PushPlan
from .share import ShareLimits
from .silence import SuspectSilence
from .situation import FleetSituation
from .subscribe import SubscribeHeartbeats
from .watch import Watch

__all__ = [
    "MISSED_HEARTBEATS",
    "ApplyConfig",
    "Fleet",
    "FleetSituation",
    "FollowHosts",
    "Greet",
    "HostsListed",
    "LeavingHosts",
    "LoadedModels",
    "Neighbours",
    "PushPlan",
    "ShareLimits",
    "SubscribeHeartbeats",
    "Subset",
    "SuspectSilence",
    "TrackLoaded",
    "Watch",
]
