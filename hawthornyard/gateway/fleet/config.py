"""Apply accepted records and replicate them to peers."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message, PeerDown, PeerUp
from ...frames import ConfigPull, ConfigPush, GatewayHeartbeat, Heartbeat, RecordEntry
from ...records import Catalog
from ..messages import ConfigChanged
from .peer_gateways import PeerGateways

SIDECAR_RECORD_KINDS = ("failure_domain", "endpoint", "model", "service")


class ApplyConfig:
    """Apply newer records and push them to connected peers.

    Records of an older revision are ignored. Gateways are sent all records;
    a sidecar is sent no teams, and of the endpoints only its own.

    Args:
        catalog: Records in force.
        peer_gateways: Distinguishes gateways from sidecars.
    """

    __slots__ = ("_catalog", "_peer_gateways", "_peer_revisions", "handlers")

    def __init__(self, catalog: Catalog, peer_gateways: PeerGateways) -> None:
        self._catalog = catalog
        self._peer_gateways = peer_gateways
        self._peer_revisions: dict[str, int] = {}
        self.handlers: Handlers = {
            ConfigPush: self._on_config_push,
            ConfigPull: self._on_config_pull,
            Heartbeat: self._on_heartbeat,
            GatewayHeartbeat: self._on_gateway_heartbeat,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_config_push(self, msg: ConfigPush) -> Iterator[Message]:
        if self._catalog.would_leave_gap(msg.after):
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
        for peer in sorted(self._peer_revisions):
            yield from self._push_missing(peer, self._peer_revisions[peer])
        yield ConfigChanged(self._catalog.revision, before)

    def _on_config_pull(self, msg: ConfigPull) -> Iterator[Message]:
        self._peer_revisions[msg.peer] = 0
        yield from self._push_missing(msg.peer, msg.after)

    def _on_heartbeat(self, msg: Heartbeat) -> Iterator[Message]:
        yield from self._on_peer_revision(msg.peer, msg.revision)
        yield msg

    def _on_gateway_heartbeat(self, msg: GatewayHeartbeat) -> Iterator[Message]:
        yield from self._on_peer_revision(msg.peer, msg.revision)
        yield msg

    def _on_peer_revision(self, peer: str, revision: int) -> Iterator[Message]:
        if revision > self._peer_revisions.get(peer, -1):
            self._peer_revisions[peer] = revision
        elif peer not in self._peer_revisions:
            return
        yield from self._push_missing(peer, self._peer_revisions[peer])

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        # Push nothing before the peer's first heartbeat reports its revision.
        self._peer_revisions.pop(msg.peer, None)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peer_revisions.pop(msg.peer, None)
        yield msg

    def _push_missing(self, peer: str, after: int) -> Iterator[Message]:
        revision = self._catalog.revision
        if after >= revision:
            return
        self._peer_revisions[peer] = revision
        yield ConfigPush(after, revision, self._entries(peer, after)).with_peer(peer)

    def _entries(self, peer: str, after: int) -> list[RecordEntry]:
        if self._peer_gateways.is_gateway(peer):
            return self._catalog.entries_after(after)
        entries = self._catalog.entries_after(after, SIDECAR_RECORD_KINDS)
        return [
            entry for entry in entries if entry.kind != "endpoint" or entry.name == peer
        ]
