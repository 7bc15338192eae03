"""Track which hosts are leaving, from the platform's host list.

Records define which endpoints exist and heartbeats show which are alive. The
host list adds one fact: a host listed as leaving gets no new work. The list may be

- late: until a newer list arrives, the sidecar's own heartbeat and admission gate
  apply;
- absent or unreachable: the last list stays in force, so a leaving host
  stays leaving; a gateway that never read a list treats no host as leaving;
- older than one already applied: it is dropped by its revision;
- wrong about a live host: a host that is missing or listed as live is judged by
  its heartbeats alone; a host wrongly listed as leaving gets no work until a
  newer list corrects it, because sending no work to a leaving endpoint takes
  precedence over capacity.
"""

from collections.abc import Iterator, Sequence

from ...core import Decision, Handlers, Message
from ...records import Endpoint


class HostsListed(Message):
    """A host list that was read from the platform.

    Attributes:
        revision: Revision of the list.
        leaving: Addresses of the hosts that are leaving, each an IP address or an
            "address:port" where several sidecars share one.
    """

    __slots__ = ("revision", "leaving")

    def __init__(self, revision: int, leaving: Sequence[str]) -> None:
        self.revision = revision
        self.leaving = leaving


class LeavingHosts:
    """Addresses of the leaving hosts in the newest list.

    Attributes:
        revision: Revision of that list, 0 before the first list.
    """

    __slots__ = ("_addresses", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._addresses: frozenset[str] = frozenset()

    def update(self, msg: HostsListed) -> bool:
        """Apply a newer list and return whether the leaving hosts changed."""
        if msg.revision <= self.revision:
            return False
        self.revision = msg.revision
        before = self._addresses
        self._addresses = frozenset(msg.leaving)
        return self._addresses != before

    def includes(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's host is leaving."""
        if not self._addresses:
            return False
        host = endpoint.sidecar.rpartition(":")[0].strip("[]")
        return host in self._addresses or endpoint.sidecar in self._addresses


class TrackLeavingHosts:
    """Update the leaving hosts from each host list.

    Args:
        leaving: The leaving hosts to update.
    """

    __slots__ = ("_leaving", "handlers")

    def __init__(self, leaving: LeavingHosts) -> None:
        self._leaving = leaving
        self.handlers: Handlers = {HostsListed: self._on_hosts_listed}

    def _on_hosts_listed(self, msg: HostsListed) -> Iterator[Message]:
        if not self._leaving.update(msg):
            return
        yield Decision(
            "hosts_leaving",
            reason="newer host list",
            revision=msg.revision,
            leaving=sorted(msg.leaving),
        )
