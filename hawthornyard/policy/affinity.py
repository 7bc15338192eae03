"""Remember which endpoints have likely cached a prompt prefix."""

from collections import OrderedDict

MAX_PREFIXES = 4096
MAX_ENDPOINTS_PER_PREFIX = 3


class PrefixAffinity:
    """A bounded map from a prompt prefix to the endpoints that were sent it last.

    Args:
        max_prefixes: Prefixes kept; the least recently sent is evicted.
    """

    __slots__ = ("_endpoints", "_max_prefixes")

    def __init__(self, *, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._endpoints: OrderedDict[str, list[str]] = OrderedDict()

    def holders(self, prefix: str) -> list[str]:
        """Return the endpoints that have likely cached a prefix, latest first."""
        return self._endpoints.get(prefix, [])

    def on_sent(self, prefix: str, endpoint: str) -> None:
        """Record that a prompt with this prefix, if any, is sent to an endpoint."""
        if not prefix:
            return
        others = [name for name in self.holders(prefix) if name != endpoint]
        self._endpoints[prefix] = [endpoint, *others][:MAX_ENDPOINTS_PER_PREFIX]
        self._endpoints.move_to_end(prefix)
        if len(self._endpoints) > self._max_prefixes:
            self._endpoints.popitem(last=False)
