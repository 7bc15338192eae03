"""Soak one seed."""

import random
import time
from pathlib import Path

import eventlet

from .checks import check_all
from .deployment import RECOVER_S
from .faults import KINDS
from .world import World

WARM_UP_S = 1.5
MEAN_GAP_S = 0.9
"""Mean time between two faults; most last longer, so that they overlap."""
TAIL_S = 3.0
"""Time of calm after the bound on recovery, in which requests must be served."""


class Outcome:
    """What a seed showed.

    Attributes:
        broken: What was broken, one line each.
        n_sent: Attempts of callers.
        n_served: Those that were served.
        n_streams: Streams that were served whole.
        n_resumed: Runs that went on from a copy.
        story: What happened, one line each.
    """

    __slots__ = ("broken", "n_resumed", "n_sent", "n_served", "n_streams", "story")

    def __init__(self) -> None:
        self.broken: list[str] = []
        self.n_sent = 0
        self.n_served = 0
        self.n_streams = 0
        self.n_resumed = 0
        self.story: list[str] = []


def soak(folder: Path, seed: int, harm_s: float) -> Outcome:
    """Run all parts, harm them, and check what was promised.

    Args:
        folder: Where logs, journals and settings go.
        seed: Seed of the faults and of the callers.
        harm_s: Seconds in which faults begin.
    """
    outcome = Outcome()
    world = World(folder, seed)
    try:
        world.start()
        world.start_callers()
        eventlet.sleep(WARM_UP_S)
        _harm(world, seed, harm_s, outcome)
        harm_ended_at = time.monotonic()
        eventlet.sleep(RECOVER_S + TAIL_S)
        world.stop_callers()
        # Lets what is under way come to its end before it is judged.
        eventlet.sleep(TAIL_S)
        runs = world.runs()
        outcome.broken += check_all(world, runs, harm_ended_at)
    finally:
        world.close()
    served = [sent for sent in world.sent if sent.status == 200]
    outcome.n_sent = len(world.sent)
    outcome.n_served = len(served)
    outcome.n_streams = sum(
        sent.kind == "summary" and sent.outcome == "whole" for sent in served
    )
    outcome.n_resumed = sum(run.is_resumed for ran in runs.values() for run in ran)
    outcome.story += world.disturbances.describe()
    return outcome


def _harm(world: World, seed: int, harm_s: float, outcome: Outcome) -> None:
    chance = random.Random(f"faults of {seed}")
    ends_at = time.monotonic() + harm_s
    under_way = []
    while (wait_s := chance.expovariate(1 / MEAN_GAP_S)) < ends_at - time.monotonic():
        eventlet.sleep(wait_s)
        kind = chance.choice(KINDS)
        outcome.story.append(f"{time.monotonic():.2f} {kind.__name__}")
        fault_chance = random.Random(chance.random())
        under_way.append(eventlet.spawn(kind().run, world, fault_chance))
    for thread in under_way:
        thread.wait()
