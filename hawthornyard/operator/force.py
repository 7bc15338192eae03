"""Tell where a revision of the configuration is in force."""

from collections.abc import Callable, Sequence

from ..core import Clock, Message
from .status import GatewayStatus

POLL_INTERVAL_S = 0.2

FetchAll = Callable[[], Sequence[GatewayStatus]]
Pause = Callable[[float], object]


class InForce(Message):
    """Which processes have a revision in force.

    Attributes:
        n_processes: Gateways that were asked and sidecars that they hear.
        lagging: Names or URLs of those that don't have it yet.
    """

    __slots__ = ("n_processes", "lagging")

    def __init__(self, n_processes: int, lagging: Sequence[str]) -> None:
        self.n_processes = n_processes
        self.lagging = lagging


def in_force(statuses: Sequence[GatewayStatus], revision: int) -> InForce:
    """Return where a revision is in force.

    Args:
        statuses: What the gateways answered.
        revision: The revision.
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
    """Ask the gateways until a revision is in force everywhere.

    Args:
        fetch_all: Asks all gateways.
        revision: The revision.
        timeout_s: Seconds after which to give up.
        clock: Source of time.
        pause: Waits some seconds.
        on_progress: Told each time how far it is.

    Returns:
        The last state; nothing lags in it unless the time ran out.
    """
    deadline = clock.now() + timeout_s
    while True:
        state = in_force(fetch_all(), revision)
        on_progress(state)
        if not state.lagging or clock.now() >= deadline:
            return state
        pause(POLL_INTERVAL_S)
