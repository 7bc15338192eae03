"""Track configuration, endpoints, hosts, the plan and the other gateways."""

from .config import ApplyConfig
from .fleet import MAX_MISSED_HEARTBEATS, Fleet
from .greet import ExchangeBeats
from .hosts import HostsListed, LeavingHosts, TrackLeavingHosts
from .links import SidecarSubset
from .loaded import LoadedModels, TrackLoadedModels
from .neighbours import PeerGateways
from .plan import PushPlan
from .share import ShareLimits
from .silence import DetectSilentConnections
from .situation import FleetSituation
from .subscribe import SubscribeHeartbeats
from .watch import TrackHeartbeats

__all__ = [
    "MAX_MISSED_HEARTBEATS",
    "ApplyConfig",
    "Fleet",
    "FleetSituation",
    "TrackLeavingHosts",
    "ExchangeBeats",
    "HostsListed",
    "LeavingHosts",
    "LoadedModels",
    "PeerGateways",
    "PushPlan",
    "ShareLimits",
    "SubscribeHeartbeats",
    "SidecarSubset",
    "DetectSilentConnections",
    "TrackLoadedModels",
    "TrackHeartbeats",
]
