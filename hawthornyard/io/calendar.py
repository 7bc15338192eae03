"""Provide the time of the week."""

from datetime import UTC, datetime

from ..planner import WeekTime


class UtcCalendar:
    """The time of the week in UTC by the host's clock."""

    __slots__ = ()

    def week_time(self) -> WeekTime:
        """Return the current weekday and minute of the day."""
        now = datetime.now(UTC)
        return WeekTime(now.weekday(), now.hour * 60 + now.minute)
