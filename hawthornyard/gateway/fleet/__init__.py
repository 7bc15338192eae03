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
from .subscribe import SubscribeHeartbeats
from .survey import FleetSurveyor
from .watch import Watch

__all__ = [
    "MISSED_HEARTBEATS",
    "ApplyConfig",
    "Fleet",
    "FleetSurveyor",
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
