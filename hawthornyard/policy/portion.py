"""Divide a limit among those that ask for parts of it."""

from collections.abc import Mapping


def divide_fairly(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return max-min fair portions that sum up to the limit.

    Who asks for less than an even part gets what it asks for; the others
    share the rest evenly. What nobody asks for is spread evenly, so that a
    burst finds some room.

    Args:
        limit: What is divided, in units a second.
        demands: What each asks for, in the same unit.
    """
    portions: dict[str, float] = {}
    remaining = limit
    unserved = sorted(demands, key=lambda name: (demands[name], name))
    while unserved:
        equal_part = remaining / len(unserved)
        name = unserved.pop(0)
        portions[name] = min(equal_part, max(0.0, demands[name]))
        remaining -= portions[name]
    surplus = remaining / len(demands) if demands else 0.0
    return {name: portion + surplus for name, portion in portions.items()}
