"""Let the most urgent work use the memory that other work must leave free."""

URGENT_MARGIN = 0.5
OTHER_MARGIN = 1.0
RECENT_S = 30.0


class Urgency:
    """Tell which share of the safety margin work must leave free.

    Where priorities differ, the most urgent work needs no margin of its own:
    less urgent generations, which an engine preempts first, have left it.
    """

    __slots__ = ("_seen_at",)

    def __init__(self) -> None:
        self._seen_at: dict[int, float] = {}

    def on_arrival(self, priority: int, now: float) -> None:
        """Note that work of a priority came."""
        self._seen_at[priority] = now

    def margin(self, priority: int, now: float) -> float:
        """Return the share of the margin that work of a priority leaves free."""
        recent = [p for p, seen_at in self._seen_at.items() if now - seen_at < RECENT_S]
        is_urgent = len(recent) > 1 and priority >= max(recent)
        return URGENT_MARGIN if is_urgent else OTHER_MARGIN
