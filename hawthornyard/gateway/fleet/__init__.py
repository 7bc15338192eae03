"""Follow the fleet: heartbeats, connections, configuration, hosts and the plan."""

from .config import ApplyConfig
from .fleet import Fleet
from .hosts import FollowHosts, HostsListed, LeavingHosts
from .loaded import LoadedModels, TrackLoaded
from .plan import PushPlan
from .survey import FleetSurveyor
from .watch import Watch

__all__ = [
    "ApplyConfig",
    "Fleet",
    "FleetSurveyor",
    "FollowHosts",
    "HostsListed",
    "LeavingHosts",
    "LoadedModels",
    "PushPlan",
    "TrackLoaded",
    "Watch",
]
