"""Bring accepted records into force and hand them to peers."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message, PeerDown, PeerUp
from ...frames import ConfigPull, ConfigPush, GatewayHeartbeat, Heartbeat, RecordEntry
from ...records import Catalog
from ..messages import ConfigChanged
from .neighbours import Neighbours

SIDECAR_KINDS = ("failure_domain", "endpoint", "model", "service")


class ApplyConfig:
    """Take records over, never back, and push them to connected peers.

    A sidecar is sent only the records it needs: all but teams, and of the
    endpoints only its own. A gateway is sent all records.

    Args:
        catalog: Records in force.
        neighbours: Gateways that are connected.
    """

    __slots__ = ("_catalog", "_held", "_neighbours", "handlers")

    def __init__(self, catalog: Catalog, neighbours: Neighbours) -> None:
        self._catalog = catalog
        self._neighbours = neighbours
        self._held: dict[str, int] = {}
        self.handlers: Handlers = {
            ConfigPush: self._on_push,
            ConfigPull: self._on_pull,
            Heartbeat: self._on_heartbeat,
            GatewayHeartbeat: self._on_gateway_beat,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_push(self, msg: ConfigPush) -> Iterator[Message]:
        if self._catalog.misses(msg.after):
            yield ConfigPull(self._catalog.revision).with_peer(msg.peer)
            return
        before = self._catalog.revision
        if not self._catalog.apply(msg.revision, msg.entries):
            return
        yield Decision(
            "config_in_force",
            reason=f"from {msg.peer or 'the table service'}",
            revision=self._catalog.revision,
            n_records=len(msg.entries),
        )
        for peer in sorted(self._held):
            yield from self._bring_up(peer, self._held[peer])
        yield ConfigChanged(self._catalog.revision, before)

    def _on_pull(self, msg: ConfigPull) -> Iterator[Message]:
        self._held[msg.peer] = 0
        yield from self._bring_up(msg.peer, msg.after)

    def _on_heartbeat(self, msg: Heartbeat) -> Iterator[Message]:
        yield from self._on_revision(msg.peer, msg.revision)
        yield msg

    def _on_gateway_beat(self, msg: GatewayHeartbeat) -> Iterator[Message]:
        yield from self._on_revision(msg.peer, msg.revision)
        yield msg

    def _on_revision(self, peer: str, revision: int) -> Iterator[Message]:
        if revision > self._held.get(peer, -1):
            self._held[peer] = revision
        elif peer not in self._held:
            return
        yield from self._bring_up(peer, self._held[peer])

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        # Its first beat tells what it holds; nothing is pushed before.
        self._held.pop(msg.peer, None)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._held.pop(msg.peer, None)
        yield msg

    def _bring_up(self, peer: str, after: int) -> Iterator[Message]:
        revision = self._catalog.revision
        if after >= revision:
            return
        self._held[peer] = revision
        yield ConfigPush(after, revision, self._entries(peer, after)).with_peer(peer)

    def _entries(self, peer: str, after: int) -> list[RecordEntry]:
        if self._neighbours.is_gateway(peer):
            return self._catalog.entries_after(after)
        entries = self._catalog.entries_after(after, SIDECAR_KINDS)
        return [
            entry for entry in entries if entry.kind != "endpoint" or entry.name == peer
        ]
