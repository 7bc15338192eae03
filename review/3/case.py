"""An endless event in small chunks keeps a gateway from answering anybody."""

import os
import sys
from pathlib import Path

import eventlet

eventlet.monkey_patch()

from review.harness import (  # noqa: E402
    ID_HEADER,
    Client,
    Head,
    Kind,
    Runner,
    World,
    is_troubled,
    run,
    stream_head,
)

LENGTH_S = 34.0
SUMMARY = Kind(
    "visit-summary",
    "streaming",
    "scribe",
    budget_s=39.0,
    timeout_s=39.0,
    target_s=1.8,
    n_tokens=400,
)
BADGE = Kind(
    "badge-issue",
    "non_idempotent",
    "frontdesk",
    budget_s=5.0,
    timeout_s=1.0,
    target_s=0.2,
)
SPOILED_SHARE = 0.45
"""Share of its answers that the runner in trouble spoils."""
ABANDON_S = 7.2
"""Gap in a stream after which its client leaves, four times the target."""
MIN_OVERDUE = 8
"""Requests without a final answer from which on the rule is broken."""
MAX_OVERDUE_SHARE = 0.25
"""Share of the requests past their timeout that may have no final answer."""
GRACE_S = 0.5
"""Time after a route's timeout within which the final answer must come."""
TOKEN = b"4\r\nword\r\n"


class Trouble:
    """Spoils answers of one runner: bytes that are no answer come without end."""

    def __init__(self) -> None:
        self._n_seen = 0
        self.n_spoiled = 0

    def __call__(self, runner: Runner, sock: object, head: Head) -> bool:
        """Spoil the answer if its turn has come."""
        self._n_seen += 1
        if self.n_spoiled + 1 > SPOILED_SHARE * (self._n_seen + 1):
            return False
        self.n_spoiled += 1
        start = stream_head(head.get(ID_HEADER)) + b"c\r\nid: 1\ndata: \r\n"
        sock.sendall(start)  # type: ignore[attr-defined]
        while True:
            # Ends with an OSError when the gateway closes the channel.
            sock.sendall(TOKEN * 2000)  # type: ignore[attr-defined]
            eventlet.sleep(0)


def keep_asking(world: World, client: Client, kind: Kind, pause_s: float) -> None:
    """Send requests one after the other until the end of the day."""
    while world.record.now() < LENGTH_S:
        outcome = client.ask(kind, wait_s=ABANDON_S if kind.n_tokens else None)
        eventlet.sleep(pause_s if outcome.is_whole else max(pause_s, 0.25))


def play(world: World) -> bool:
    """Play the day and return whether the rule held."""
    world.configure([SUMMARY, BADGE], engine_services=frozenset({"scribe"}))
    trouble = Trouble()
    for index in range(6):
        spoil = trouble if index == 0 and is_troubled() else None
        zone = f"kgn-{'abc'[index % 3]}"
        name = f"scribe-{index}"
        Runner(world, name, "scribe", zone, work_s=0.3, spoil=spoil).publish()
    for index in range(3):
        zone = f"kgn-{'abc'[index % 3]}"
        Runner(world, f"desk-{index}", "frontdesk", zone, work_s=0.045).publish()
    world.add_gateways(2)
    for gateway in world.gateways:
        for index in range(6):
            client = Client(world, f"{gateway.name}-b{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client, BADGE, 0.15)
        for index in range(4):
            client = Client(world, f"{gateway.name}-s{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client, SUMMARY, 0.2)
    eventlet.sleep(max(0.0, LENGTH_S - world.record.now()) + 8.0)
    return judge(world, trouble)


def judge(world: World, trouble: Trouble) -> bool:
    """Return whether requests that passed their route's timeout were answered."""
    badges = [item for item in world.outcomes if item.kind == BADGE.name]
    late = [item for item in badges if item.ended_at - item.sent_at > BADGE.timeout_s]
    overdue = [
        item
        for item in late
        if item.ended_at - item.sent_at > BADGE.timeout_s + GRACE_S
    ]
    longest_s = max((item.ended_at - item.sent_at for item in badges), default=0.0)
    world.record.conclude(
        f"{len(late)} of {len(badges)} plain requests were unanswered at their route's "
        f"timeout, {len(overdue)} of them still {GRACE_S:g} s later; the longest took "
        f"{longest_s:.1f} s; {trouble.n_spoiled} streams spoiled"
    )
    return len(overdue) < MIN_OVERDUE or len(overdue) <= MAX_OVERDUE_SHARE * len(late)


if __name__ == "__main__":
    status = run(Path(__file__).resolve().parent, play)
    sys.stdout.flush()
    os._exit(status)
