"""Put a tick into an inbox at regular intervals."""

import eventlet

from ..core import Clock, Inbox, Tick

TICK_INTERVAL_S = 0.1


def run_timer(
    inbox: Inbox, clock: Clock, *, interval_s: float = TICK_INTERVAL_S
) -> None:
    """Put a `Tick` into the inbox at every interval; never returns.

    Args:
        inbox: Receives the ticks.
        clock: Source of time.
        interval_s: Seconds between ticks.
    """
    while True:
        eventlet.sleep(interval_s)
        inbox.put(Tick(clock.now()))
