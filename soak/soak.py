"""One soak run: start, inject faults, recover and check."""

import random
import time
from pathlib import Path

import eventlet

from hawthornyard.platform.standins.endpoint import DEADLY_ENDS

from .checks import check_all
from .deployment import RECOVERY_LIMIT_S
from .faults import FAULT_TYPES
from .world import World

WARM_UP_S = 1.5
MEAN_FAULT_INTERVAL_S = 0.9
"""Mean time between faults; most last longer, so faults overlap."""
QUIET_S = 3.0
"""Fault-free time after the recovery limit, in which requests must be served."""


class SeedResult:
    """The result of one seed.

    Attributes:
        violations: Guarantees that were broken, one line each.
        n_attempts: Attempts of all callers.
        n_served: Attempts with status 200.
        n_streams: Streams that were received completely.
        n_resumed: Executions that resumed from a copy.
        timeline: Faults as they were drawn, then their spans, one line each.
    """

    __slots__ = (
        "n_attempts",
        "n_resumed",
        "n_served",
        "n_streams",
        "timeline",
        "violations",
    )

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.n_attempts = 0
        self.n_served = 0
        self.n_streams = 0
        self.n_resumed = 0
        self.timeline: list[str] = []


def soak(
    folder: Path, seed: int, fault_window_s: float, *, is_tainting: bool = False
) -> SeedResult:
    """Run the deployment under faults and check its guarantees.

    Args:
        folder: Folder of logs, journals and settings.
        seed: Seed of the faults and of the callers.
        fault_window_s: Seconds during which faults are started.
        is_tainting: Whether some prompts end endpoints meanwhile.
    """
    result = SeedResult()
    # From a source of its own: the faults of a seed must not depend on it.
    deadly_end = random.Random(f"deadly end of {seed}").choice(DEADLY_ENDS)
    if is_tainting:
        result.timeline.append(f"the deadly part shows as {deadly_end}")
    world = World(folder, seed, deadly_end=deadly_end)
    try:
        world.start()
        world.start_callers()
        eventlet.sleep(WARM_UP_S)
        world.is_tainting = is_tainting
        if is_tainting:
            eventlet.spawn_n(world.restart_ended_endpoints)
        _inject_faults(world, seed, fault_window_s, result)
        world.is_tainting = False
        faults_ended_at = time.monotonic()
        eventlet.sleep(RECOVERY_LIMIT_S + QUIET_S)
        world.stop_callers()
        # Let pending requests end before the checks.
        eventlet.sleep(QUIET_S)
        executions_by_id = world.executions()
        result.violations += check_all(world, executions_by_id, faults_ended_at)
    finally:
        world.close()
    served = [attempt for attempt in world.attempts if attempt.status == 200]
    result.n_attempts = len(world.attempts)
    result.n_served = len(served)
    result.n_streams = sum(
        attempt.kind == "summary" and attempt.outcome == "whole" for attempt in served
    )
    result.n_resumed = sum(
        execution.is_resumed
        for executions in executions_by_id.values()
        for execution in executions
    )
    result.timeline += world.fault_spans.describe()
    return result


def _inject_faults(
    world: World, seed: int, fault_window_s: float, result: SeedResult
) -> None:
    rng = random.Random(f"faults of {seed}")
    ends_at = time.monotonic() + fault_window_s
    running = []
    while (
        wait_s := rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    ) < ends_at - time.monotonic():
        eventlet.sleep(wait_s)
        fault_type = rng.choice(FAULT_TYPES)
        result.timeline.append(f"{time.monotonic():.2f} {fault_type.__name__}")
        fault_rng = random.Random(rng.random())
        running.append(eventlet.spawn(fault_type().run, world, fault_rng))
    for thread in running:
        thread.wait()
