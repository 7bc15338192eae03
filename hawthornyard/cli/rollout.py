"""Wait until a revision is in force, with a progress bar."""

from collections.abc import Sequence

import eventlet

from ..io import MonotonicClock
from ..operator import RolloutStatus, fetch_status, wait_for_rollout
from .output import make_console
from .progress import show_progress

MAX_NAMES_SHOWN = 5


def wait_for_revision(
    urls: Sequence[str], revision: int, *, timeout_s: float
) -> RolloutStatus:
    """Wait until gateways and their sidecars have a revision in force.

    Processes that lag behind at the timeout are printed to standard error.

    Args:
        urls: URLs of the gateways to query.
        revision: Configuration revision to wait for.
        timeout_s: Seconds after which to give up.

    Returns:
        The result of the last poll; processes lag in it only after a timeout.
    """
    with show_progress(f"revision {revision} in force") as on_progress:

        def show_rollout(rollout: RolloutStatus) -> None:
            n_done = rollout.n_processes - len(rollout.lagging)
            on_progress(n_done, rollout.n_processes)

        rollout = wait_for_rollout(
            lambda: [fetch_status(url) for url in urls],
            revision,
            timeout_s=timeout_s,
            clock=MonotonicClock(),
            sleep=eventlet.sleep,
            on_progress=show_rollout,
        )
    if rollout.lagging:
        names = ", ".join(rollout.lagging[:MAX_NAMES_SHOWN])
        console = make_console(to_stderr=True)
        console.print(f"not in force at {len(rollout.lagging)}: {names}")
    return rollout
