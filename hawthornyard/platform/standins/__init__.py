"""Stand in for the systems of the users' platform, for trials only.

They speak what `hawthornyard.platform` calls: a store with a feed, model engines whose
runs can be copied and mirrored, and plain services.
"""

from .endpoint import Behaviour, EndpointStandIn
from .journal import Journal
from .store import PlatformStoreApp

__all__ = ["Behaviour", "EndpointStandIn", "Journal", "PlatformStoreApp"]
