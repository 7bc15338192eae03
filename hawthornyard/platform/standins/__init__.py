"""Stand-ins for the systems of the users' platform, for tests only.

They implement the interfaces that `hawthornyard.platform` calls: a store with a feed
of changes, model engines whose runs can be copied and mirrored, and plain services.
"""

from .endpoint import Behaviour, EndpointStandIn
from .journal import Journal
from .store import PlatformStoreApp

__all__ = ["Behaviour", "EndpointStandIn", "Journal", "PlatformStoreApp"]
