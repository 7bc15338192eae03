"""Bring accepted records into force and hand them to the sidecars."""

from collections.abc import Iterator

from ...core import Decision, Handlers, Message, PeerDown, PeerUp
from ...frames import ConfigPush
from ...records import Catalog
from ..messages import ConfigChanged

SIDECAR_KINDS = ("failure_domain", "endpoint", "model", "service")


class ApplyConfig:
    """Take records over, never back, and push them to connected peers."""

    __slots__ = ("_catalog", "_peers", "handlers")

    def __init__(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._peers: set[str] = set()
        self.handlers: Handlers = {
            ConfigPush: self._on_push,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_push(self, msg: ConfigPush) -> Iterator[Message]:
        before = self._catalog.revision
        if not self._catalog.apply(msg.revision, msg.entries):
            return
        yield Decision(
            "config_in_force",
            reason="newer revision",
            revision=self._catalog.revision,
            n_records=len(msg.entries),
        )
        for peer in sorted(self._peers):
            yield self._push(before, peer)
        yield ConfigChanged(self._catalog.revision, before)

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._peers.add(msg.peer)
        yield self._push(0, msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg

    def _push(self, after: int, peer: str) -> Message:
        entries = self._catalog.entries_after(after, SIDECAR_KINDS)
        return ConfigPush(self._catalog.revision, entries).at(peer)
