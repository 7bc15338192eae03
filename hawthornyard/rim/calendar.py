"""Tell the time of the week."""

from datetime import UTC, datetime

from ..planner import WeekTime


class UtcCalendar:
    """Tell the machine's time of the week, UTC."""

    __slots__ = ()

    def week_time(self) -> WeekTime:
        """Return the present minute of the week."""
        now = datetime.now(UTC)
        return WeekTime(now.weekday(), now.hour * 60 + now.minute)
