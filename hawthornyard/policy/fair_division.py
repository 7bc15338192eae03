"""Divide a limit by max-min fairness."""

from collections.abc import Mapping


def divide_fairly(limit: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return max-min fair shares that add up to the limit.

    A demand below an equal part is met in full; the others get equal parts of
    what remains. A surplus that nobody demands is spread equally, so that a
    burst finds spare capacity.

    Args:
        limit: Rate to divide, in units per second.
        demands: Demand by name, in the same unit; a negative one counts as 0.
    """
    shares: dict[str, float] = {}
    remaining = limit
    unserved = sorted(demands, key=lambda name: (demands[name], name))
    while unserved:
        equal_part = remaining / len(unserved)
        name = unserved.pop(0)
        shares[name] = min(equal_part, max(0.0, demands[name]))
        remaining -= shares[name]
    surplus = remaining / len(demands) if demands else 0.0
    return {name: share + surplus for name, share in shares.items()}
