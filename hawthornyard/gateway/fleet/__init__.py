"""Follow the fleet: configuration, endpoints, the other gateways."""

from .config import ApplyConfig
from .fleet import MISSED_HEARTBEATS, Fleet
from .greet import Greet
from .links import Subset
from .neighbours import Neighbours
from .share import ShareLimits
from .silence import SuspectSilence
from .subscribe import SubscribeHeartbeats
from .watch import Watch

__all__ = [
    "MISSED_HEARTBEATS",
    "ApplyConfig",
    "Fleet",
    "Greet",
    "Neighbours",
    "ShareLimits",
    "SubscribeHeartbeats",
    "Subset",
    "SuspectSilence",
    "Watch",
]
