"""A burst makes a gateway send requests twice that may run once at most."""

import os
import sys
from pathlib import Path

import eventlet

eventlet.monkey_patch()

from review.harness import (  # noqa: E402
    Client,
    Kind,
    Runner,
    World,
    is_troubled,
    run,
)

LENGTH_S = 92.0
TAG = Kind(
    "purpose-tag",
    "streaming",
    "scribe",
    budget_s=6.0,
    timeout_s=6.0,
    target_s=1.5,
    n_tokens=200,
    n_prompt_tokens=2200,
)
N_RUNNERS = 6
USUAL_PER_S = 34.0
BURST_FACTOR = 1.7
BURST_S = 3.0
BURSTS_AT_S = tuple(10.0 + 8.0 * index for index in range(10))


def rate_at(seconds: float) -> float:
    """Return the requests a second at a time of the day."""
    if is_troubled() and any(at <= seconds < at + BURST_S for at in BURSTS_AT_S):
        return BURST_FACTOR * USUAL_PER_S
    return USUAL_PER_S


def ask_once(idle: list[Client], client: Client) -> None:
    """Send one request, and put the client back."""
    client.ask(TAG)
    idle.append(client)


def play(world: World) -> bool:
    """Play the day and return whether the rule held."""
    world.configure([TAG], engine_services=frozenset({"scribe"}))
    for index in range(N_RUNNERS):
        zone = f"kgn-{'abc'[index % 3]}"
        name = f"scribe-{index}"
        Runner(world, name, "scribe", zone, work_s=0.3, n_slots=24).publish()
    world.add_gateways(1)
    idle: list[Client] = []
    n_clients = 0
    start = world.record.now()
    while (now := world.record.now() - start) < LENGTH_S:
        if not idle:
            n_clients += 1
            name = f"client-{n_clients}"
            idle.append(Client(world, name, world.gateways[0]))
        eventlet.spawn_n(ask_once, idle, idle.pop(0))
        eventlet.sleep(1.0 / rate_at(now))
    eventlet.sleep(TAG.budget_s + 1.0)
    return judge(world)


def judge(world: World) -> bool:
    """Return whether each request ran once at most, counted from a first event on."""
    n_runs: dict[str, int] = {}
    for arrival in world.arrivals:
        if arrival.worked_until == arrival.at:
            continue
        n_runs[arrival.request_id] = n_runs.get(arrival.request_id, 0) + 1
    twice = [request_id for request_id, n in n_runs.items() if n > 1]
    n_whole = sum(outcome.is_whole for outcome in world.outcomes)
    n_refused = sum(outcome.status in (429, 503) for outcome in world.outcomes)
    world.record.conclude(
        f"{len(twice)} of {len(world.outcomes)} requests ran more than once: "
        f"{twice[:10]}; {n_whole} answered, {n_refused} of them by a refusal"
    )
    return not twice


if __name__ == "__main__":
    status = run(Path(__file__).resolve().parent, play)
    sys.stdout.flush()
    os._exit(status)
