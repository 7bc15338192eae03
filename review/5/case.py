"""A refusal of a HEAD request puts bytes before the next answer on its channel."""

import os
import sys
from pathlib import Path

import eventlet

eventlet.monkey_patch()

from review.harness import (  # noqa: E402
    Client,
    Kind,
    Outcome,
    Runner,
    World,
    is_troubled,
    run,
)

LENGTH_S = 20.0
CHANGE_AT_S = 8.0
LOOKUP = Kind(
    "guest-lookup",
    "idempotent",
    "frontdesk",
    budget_s=1.0,
    timeout_s=1.0,
    target_s=0.2,
)
OLD_LOOKUP = Kind(
    "old-lookup",
    "idempotent",
    "frontdesk",
    budget_s=1.0,
    timeout_s=1.0,
    target_s=0.2,
)


class Spoiled:
    """Answers that did not begin with a status line."""

    def __init__(self) -> None:
        self.lines: list[str] = []


def keep_asking(world: World, client: Client, spoiled: Spoiled) -> None:
    """Ask for the head of one path and for the other path in turn, on one channel."""
    while world.record.now() < LENGTH_S:
        for kind, method in ((OLD_LOOKUP, "HEAD"), (LOOKUP, "GET")):
            outcome = ask(world, client, kind, method, spoiled)
            if outcome is None:
                break
            eventlet.sleep(0.1)


def ask(
    world: World, client: Client, kind: Kind, method: str, spoiled: Spoiled
) -> Outcome | None:
    """Send a request; return None if what came back is no answer."""
    try:
        return client.ask(kind, method=method)
    except ValueError as exc:
        # The status line could not be read.
        world.record.write("no_answer", kind=kind.name, detail=str(exc))
        spoiled.lines.append(str(exc))
        client.close()
        return None


def play(world: World) -> bool:
    """Play the day and return whether the rule held."""
    world.configure([LOOKUP, OLD_LOOKUP], engine_services=frozenset())
    for index in range(3):
        zone = f"kgn-{'abc'[index % 3]}"
        Runner(world, f"desk-{index}", "frontdesk", zone).publish()
    world.add_gateways(2)
    spoiled = Spoiled()
    for gateway in world.gateways:
        for index in range(3):
            client = Client(world, f"{gateway.name}-l{index}", gateway)
            eventlet.spawn_n(keep_asking, world, client, spoiled)
    eventlet.sleep(max(0.0, CHANGE_AT_S - world.record.now()))
    kinds = [LOOKUP] if is_troubled() else [LOOKUP, OLD_LOOKUP]
    world.configure(kinds, engine_services=frozenset(), version=4)
    eventlet.sleep(max(0.0, LENGTH_S - world.record.now()) + 2.0)
    n_whole = sum(outcome.is_whole for outcome in world.outcomes)
    world.record.conclude(
        f"{len(spoiled.lines)} times a channel gave bytes that are no answer; first: "
        f"{spoiled.lines[:1]}; {n_whole} of {len(world.outcomes)} requests answered"
    )
    return not spoiled.lines


if __name__ == "__main__":
    status = run(Path(__file__).resolve().parent, play)
    sys.stdout.flush()
    os._exit(status)
