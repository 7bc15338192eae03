"""Decide from the opening hours whether a service expects load."""

from typing import Protocol

from ..core import Message
from ..records import OpeningHours, Service

MINUTES_PER_DAY = 24 * 60
DAYS_PER_WEEK = 7
# Models are placed this long before a service opens.
OPENING_LEAD_MINUTES = 20


class WeekTime(Message):
    """A minute of the week, UTC.

    Attributes:
        day: Weekday, 0 for Monday.
        minute: Minute of the day, 0 for midnight.
    """

    __slots__ = ("day", "minute")

    def __init__(self, day: int, minute: int) -> None:
        self.day = day
        self.minute = minute


class Calendar(Protocol):
    """A source of the time of the week."""

    def week_time(self) -> WeekTime:
        """Return the present minute of the week, UTC."""
        ...


def is_open(
    service: Service, at: WeekTime, *, lead_minutes: int = OPENING_LEAD_MINUTES
) -> bool:
    """Return whether a service is open or opens within `lead_minutes` minutes.

    Args:
        service: The service; without opening hours it is always open.
        at: Time of the week.
        lead_minutes: Minutes before opening that count as open.
    """
    if not service.opening_hours:
        return True
    return any(_covers(hours, at, lead_minutes) for hours in service.opening_hours)


def _covers(hours: OpeningHours, at: WeekTime, lead_minutes: int) -> bool:
    closes = hours.closes
    # Hours that close no later than they open end on the next day.
    if closes <= hours.opens:
        closes += MINUTES_PER_DAY
    for days_back in (-1, 0, 1):
        if (at.day - days_back) % DAYS_PER_WEEK not in hours.days:
            continue
        minute = at.minute + days_back * MINUTES_PER_DAY
        if hours.opens - lead_minutes <= minute < closes:
            return True
    return False
