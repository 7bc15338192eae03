"""A stream that is broken off in the size of a chunk is passed on as complete."""

import os
import sys
from pathlib import Path

import eventlet

eventlet.monkey_patch()

from review.harness import (  # noqa: E402
    TOKENS_PER_EVENT,
    Client,
    Kind,
    Runner,
    World,
    is_troubled,
    run,
)

LENGTH_S = 40.0
TAG = Kind(
    "purpose-tag",
    "streaming",
    "scribe",
    budget_s=6.0,
    timeout_s=6.0,
    target_s=1.5,
    n_tokens=16,
    n_prompt_tokens=2200,
)
N_EVENTS = TAG.n_tokens // TOKENS_PER_EVENT
SPOILED_SHARE = 0.03
"""Share of its answers that the runner in trouble breaks off."""


class Trouble:
    """Breaks off some answers, each a byte later in a chunk than the one before."""

    def __init__(self) -> None:
        self._n_seen = 0
        self.n_spoiled = 0

    def __call__(self) -> int | None:
        """Return after how many bytes of a chunk to break off, None to go on."""
        self._n_seen += 1
        if self.n_spoiled + 1 > SPOILED_SHARE * self._n_seen:
            return None
        self.n_spoiled += 1
        return self.n_spoiled - 1


def keep_asking(world: World, client: Client) -> None:
    """Send requests one after the other until the end of the day."""
    while world.record.now() < LENGTH_S:
        client.ask(TAG)
        eventlet.sleep(0.05)


def play(world: World) -> bool:
    """Play the day and return whether the rule held."""
    world.configure([TAG], engine_services=frozenset({"scribe"}))
    trouble = Trouble()
    for index in range(3):
        zone = f"kgn-{'abc'[index % 3]}"
        Runner(
            world,
            f"scribe-{index}",
            "scribe",
            zone,
            work_s=0.1,
            cut=trouble if index == 0 and is_troubled() else None,
            size_format=b"%08x",
        ).publish()
    world.add_gateways(2)
    for gateway in world.gateways:
        for index in range(8):
            client = Client(world, f"{gateway.name}-s{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client)
    eventlet.sleep(max(0.0, LENGTH_S - world.record.now()) + 2.0)
    return judge(world, trouble)


def judge(world: World, trouble: Trouble) -> bool:
    """Return whether no stream ended as complete before its last event."""
    short = [
        outcome
        for outcome in world.outcomes
        if outcome.is_whole
        and outcome.status == 200
        and outcome.body.count(b"\n\n") < N_EVENTS
    ]
    ids = [outcome.request_id for outcome in short]
    world.record.conclude(
        f"{len(short)} of {len(world.outcomes)} streams ended as complete before the "
        f"last of their {N_EVENTS} events: {ids[:10]}; {trouble.n_spoiled} answers "
        f"broken off"
    )
    return not short


if __name__ == "__main__":
    status = run(Path(__file__).resolve().parent, play)
    sys.stdout.flush()
    os._exit(status)
