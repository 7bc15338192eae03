"""Push the plan to the sidecars."""

from collections.abc import Iterator

from ...core import Handlers, Message, PeerDown, PeerUp
from ...frames import PlanPush
from ...planner import Plan, PlanChanged


class PushPlan:
    """Push to each connected sidecar its plan entry, on connection and on change."""

    __slots__ = ("_peers", "_plan", "handlers")

    def __init__(self) -> None:
        self._peers: set[str] = set()
        self._plan = Plan(0, {})
        self.handlers: Handlers = {
            PlanChanged: self._on_plan_changed,
            PeerUp: self._on_peer_up,
            PeerDown: self._on_peer_down,
        }

    def _on_plan_changed(self, msg: PlanChanged) -> Iterator[Message]:
        before = self._plan.entries
        self._plan = msg.plan
        for peer in sorted(self._peers):
            if before.get(peer) != msg.plan.entries.get(peer):
                yield from self._push(peer)

    def _on_peer_up(self, msg: PeerUp) -> Iterator[Message]:
        self._peers.add(msg.peer)
        yield from self._push(msg.peer)
        yield msg

    def _on_peer_down(self, msg: PeerDown) -> Iterator[Message]:
        self._peers.discard(msg.peer)
        yield msg

    def _push(self, peer: str) -> Iterator[Message]:
        entry = self._plan.entries.get(peer)
        if entry is not None:
            yield PlanPush(self._plan.revision, entry).with_peer(peer)
