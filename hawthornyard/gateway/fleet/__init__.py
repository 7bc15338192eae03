"""Follow the fleet: configuration, endpoints, the other gateways."""

from .config import ApplyConfig
from .fleet import Fleet
from .greet import Greet
from .neighbours import Neighbours
from .share import ShareLimits
from .watch import Watch

__all__ = ["ApplyConfig", "Fleet", "Greet", "Neighbours", "ShareLimits", "Watch"]
