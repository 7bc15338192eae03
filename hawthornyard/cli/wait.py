"""Wait until a revision is in force, with a progress bar."""

from collections.abc import Sequence

import eventlet

from ..operator import InForce, fetch_status, wait_in_force
from ..rim import MonotonicClock
from .output import make_console
from .progress import show_progress

MAX_NAMES = 5


def wait_for_revision(
    urls: Sequence[str], revision: int, *, timeout_s: float
) -> InForce:
    """Wait until gateways and their sidecars have a revision in force.

    Processes that lag behind at the timeout are printed to standard error.

    Args:
        urls: URLs of the gateways to query.
        revision: Configuration revision to wait for.
        timeout_s: Seconds after which to give up.
    """
    with show_progress(f"revision {revision} in force") as on_progress:

        def show_state(state: InForce) -> None:
            n_done = state.n_processes - len(state.lagging)
            on_progress(n_done, state.n_processes)

        state = wait_in_force(
            lambda: [fetch_status(url) for url in urls],
            revision,
            timeout_s=timeout_s,
            clock=MonotonicClock(),
            pause=eventlet.sleep,
            on_progress=show_state,
        )
    if state.lagging:
        named = ", ".join(state.lagging[:MAX_NAMES])
        console = make_console(to_stderr=True)
        console.print(f"not in force at {len(state.lagging)}: {named}")
    return state
