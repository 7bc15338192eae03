"""Put ticks into an inbox."""

import eventlet

from ..core import Clock, Inbox, Tick

TICK_INTERVAL_S = 0.1


def run_timer(
    inbox: Inbox, clock: Clock, *, interval_s: float = TICK_INTERVAL_S
) -> None:
    """Put a tick into the inbox at every interval, for ever.

    Args:
        inbox: Where the ticks go.
        clock: Source of time.
        interval_s: Seconds between ticks.
    """
    while True:
        eventlet.sleep(interval_s)
        inbox.put(Tick(clock.now()))
