"""Track which processes have a configuration revision in force."""

from collections.abc import Callable, Sequence

from ..core import Clock, Message
from .status import GatewayStatus

POLL_INTERVAL_S = 0.2

FetchAll = Callable[[], Sequence[GatewayStatus]]
Pause = Callable[[float], object]


class InForce(Message):
    """The processes that have a configuration revision in force or lag behind.

    Attributes:
        n_processes: Number of queried gateways and of sidecars that they report.
        lagging: Names of the processes that are still at an older revision; URLs
            of gateways that did not respond.
    """

    __slots__ = ("n_processes", "lagging")

    def __init__(self, n_processes: int, lagging: Sequence[str]) -> None:
        self.n_processes = n_processes
        self.lagging = lagging


def in_force(statuses: Sequence[GatewayStatus], revision: int) -> InForce:
    """Return which processes have a revision in force.

    A sidecar counts with the newest revision that any gateway reports for it.

    Args:
        statuses: Statuses of the gateways.
        revision: Configuration revision to look for.
    """
    held: dict[str, int] = {}
    for status in statuses:
        held[status.name or status.url] = status.revision
        for endpoint in status.endpoints:
            label = f"sidecar of {endpoint.name}"
            held[label] = max(held.get(label, 0), endpoint.revision)
    lagging = sorted(name for name, has in held.items() if has < revision)
    return InForce(len(held), lagging)


def wait_in_force(
    fetch_all: FetchAll,
    revision: int,
    *,
    timeout_s: float,
    clock: Clock,
    pause: Pause,
    on_progress: Callable[[InForce], object],
) -> InForce:
    """Poll the gateways until a revision is in force everywhere.

    Args:
        fetch_all: Fetches the statuses of all gateways.
        revision: Configuration revision to wait for.
        timeout_s: Seconds after which to give up.
        clock: Source of time.
        pause: Sleeps for a number of seconds.
        on_progress: Called with the result of each poll.

    Returns:
        The result of the last poll; processes lag in it only after a timeout.
    """
    deadline = clock.now() + timeout_s
    while True:
        state = in_force(fetch_all(), revision)
        on_progress(state)
        if not state.lagging or clock.now() >= deadline:
            return state
        pause(POLL_INTERVAL_S)
