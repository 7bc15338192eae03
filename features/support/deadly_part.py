"""Real processes whose endpoints end on a part of some prompts."""

import sys
from pathlib import Path

import eventlet
from loguru import logger

from features.support.processes import temporary_folder
from soak.deployment import (
    CONTACT_DELAY_S,
    DEADLY_PART,
    MAX_DEADLY_CRASHES,
)
from soak.world import World

WARM_UP_S = 2.0
TAINTED_S = 14.0


class DeadlyPartRun:
    """What happened while some prompts had the deadly part.

    Attributes:
        n_crashes: Endpoints that it ended.
        n_late: Prompts with it that reached endpoints later than gateways must agree
            after `MAX_DEADLY_CRASHES` crashes.
        n_sound: Prompts without it that were answered.
    """

    __slots__ = ("n_crashes", "n_late", "n_sound")

    def __init__(self, n_crashes: int, n_late: int, n_sound: int) -> None:
        self.n_crashes = n_crashes
        self.n_late = n_late
        self.n_sound = n_sound


def run_deadly_part(deadly_end: str, seed: int) -> DeadlyPartRun:
    """Run gateways, endpoints and callers with a deadly part in some prompts."""
    with temporary_folder() as folder:
        world = World(Path(folder), seed, deadly_end=deadly_end)
        try:
            world.start()
            world.start_callers()
            eventlet.sleep(WARM_UP_S)
            eventlet.spawn_n(world.restart_ended_endpoints)
            world.is_tainting = True
            eventlet.sleep(TAINTED_S)
            world.stop_callers()
            executions = world.executions()
        finally:
            world.close()
    tainted = {att.request_id for att in world.attempts if DEADLY_PART in att.prefix}
    crashes = world.deadly_crashes
    limit = float("inf")
    if len(crashes) >= MAX_DEADLY_CRASHES:
        limit = crashes[MAX_DEADLY_CRASHES - 1] + CONTACT_DELAY_S
    n_late = sum(
        run.started_at > limit
        for request_id, runs in executions.items()
        if request_id in tainted
        for run in runs
    )
    n_sound = sum(
        att.status == 200 and att.kind == "summary" and att.request_id not in tainted
        for att in world.attempts
    )
    return DeadlyPartRun(len(crashes), n_late, n_sound)


def main() -> None:
    """Print the counts of a run that ends endpoints as the first argument says."""
    logger.remove()
    run = run_deadly_part(sys.argv[1], seed=1)
    print(run.n_crashes, run.n_late, run.n_sound)


if __name__ == "__main__":
    main()
