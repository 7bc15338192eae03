"""Follow the platform's list of hosts, for what is leaving.

Records and heartbeats tell what exists and what is alive. The list adds one
thing: a host that it shows as leaving gets no new work. It may be

- late: the sidecar's own heartbeat and gate hold until the list follows;
- absent or unreachable: the last list stays in force, so a leaving host
  stays leaving; a gateway that never saw a list treats no host as leaving;
- older than one seen before: it is dropped, its revision tells;
- wrong about a live host: one that it does not name, or names as live, is
  judged by its heartbeats alone; one that it wrongly names as leaving gets no
  work until a newer list says otherwise, because the promise to a leaving
  endpoint goes before capacity.
"""

from collections.abc import Iterator, Sequence

from ...core import Decision, Handlers, Message
from ...records import Endpoint


class HostsListed(Message):
    """The platform's list of hosts was read.

    Attributes:
        revision: Revision of the list.
        leaving: Addresses of the hosts that are leaving.
    """

    __slots__ = ("revision", "leaving")

    def __init__(self, revision: int, leaving: Sequence[str]) -> None:
        self.revision = revision
        self.leaving = leaving


class LeavingHosts:
    """The addresses that the newest list shows as leaving.

    Attributes:
        revision: Revision of that list, 0 before the first.
    """

    __slots__ = ("_addresses", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._addresses: frozenset[str] = frozenset()

    def update(self, msg: HostsListed) -> bool:
        """Take a newer list over and return whether it changed anything."""
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
    """Keep the leaving hosts up to date."""

    __slots__ = ("_leaving", "handlers")

    def __init__(self, leaving: LeavingHosts) -> None:
        self._leaving = leaving
        self.handlers: Handlers = {HostsListed: self._on_listed}

    def _on_listed(self, msg: HostsListed) -> Iterator[Message]:
        if not self._leaving.update(msg):
            return
        yield Decision(
            "hosts_leaving",
            reason="newer host list",
            revision=msg.revision,
            leaving=sorted(msg.leaving),
        )
