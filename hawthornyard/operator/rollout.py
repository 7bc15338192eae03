"""Track which processes have a configuration revision in force."""

from collections.abc import Callable, Sequence

from ..core import Clock, Message
from .status import GatewayStatus

POLL_INTERVAL_S = 0.2

FetchStatuses = Callable[[], Sequence[GatewayStatus]]
Sleep = Callable[[float], object]


class RolloutStatus(Message):
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


def rollout_status(statuses: Sequence[GatewayStatus], revision: int) -> RolloutStatus:
    """Return which processes have a revision in force.

    A sidecar counts with the newest revision that any gateway reports for it.

    Args:
        statuses: Statuses of the gateways.
        revision: Configuration revision to look for.
    """
    revisions: dict[str, int] = {}
    for status in statuses:
        revisions[status.name or status.url] = status.revision
        for endpoint in status.endpoints:
            label = f"sidecar of {endpoint.name}"
            revisions[label] = max(revisions.get(label, 0), endpoint.revision)
    lagging = sorted(name for name, current in revisions.items() if current < revision)
    return RolloutStatus(len(revisions), lagging)


def wait_for_rollout(
    fetch_statuses: FetchStatuses,
    revision: int,
    *,
    timeout_s: float,
    clock: Clock,
    sleep: Sleep,
    on_progress: Callable[[RolloutStatus], object],
) -> RolloutStatus:
    """Poll the gateways until a revision is in force everywhere.

    Args:
        fetch_statuses: Fetches the statuses of all gateways.
        revision: Configuration revision to wait for.
        timeout_s: Seconds after which to give up.
        clock: Source of time.
        sleep: Sleeps for a number of seconds.
        on_progress: Called with the result of each poll.

    Returns:
        The result of the last poll; processes lag in it only after a timeout.
    """
    deadline = clock.now() + timeout_s
    while True:
        rollout = rollout_status(fetch_statuses(), revision)
        on_progress(rollout)
        if not rollout.lagging or clock.now() >= deadline:
            return rollout
        sleep(POLL_INTERVAL_S)
