"""Track configuration, endpoints, hosts, the plan and the other gateways."""

from .config import ApplyConfig
from .fleet import MAX_MISSED_HEARTBEATS, Fleet
from .gateway_heartbeats import ExchangeHeartbeats
from .hosts import HostsListed, LeavingHosts, TrackLeavingHosts
from .loaded_models import LoadedModels, TrackLoadedModels
from .peer_gateways import PeerGateways
from .plan import PushPlan
from .planner_input import FleetPlannerInput
from .share import ShareLimits
from .sidecar_heartbeats import TrackHeartbeats
from .sidecar_subset import SidecarSubset
from .silent_connections import DetectSilentConnections
from .subscribe import SubscribeHeartbeats

__all__ = [
    "MAX_MISSED_HEARTBEATS",
    "ApplyConfig",
    "Fleet",
    "FleetPlannerInput",
    "TrackLeavingHosts",
    "ExchangeHeartbeats",
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
