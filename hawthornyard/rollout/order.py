"""Define the order to move a service to another version."""

from collections.abc import Collection

from ..core import Message

# Below it, the steps are shorter than the time in which gateways hear of each other.
MIN_DURATION_S = 2.0
MAX_DURATION_S = 86_400.0


class RolloutOrder(Message):
    """An operator's order to move the traffic of a service.

    Attributes:
        service: Name of the service.
        to: Version that is to get the traffic.
        duration_s: Seconds within which the rollout must end.
        revision: Number that the store gave to the order's write.
    """

    __slots__ = ("service", "to", "duration_s", "revision")

    def __init__(
        self, service: str, to: str, duration_s: float, revision: int = 0
    ) -> None:
        self.service = service
        self.to = to
        self.duration_s = duration_s
        self.revision = revision


def find_duration_fault(order: RolloutOrder) -> str:
    """Return what is wrong with the duration of an order, empty if it is allowed."""
    if MIN_DURATION_S <= order.duration_s <= MAX_DURATION_S:
        return ""
    return (
        f"duration_s is {order.duration_s:g}, expected {MIN_DURATION_S:g} to "
        f"{MAX_DURATION_S:g}"
    )


def find_fault(
    order: RolloutOrder, *, is_service_known: bool, versions: Collection[str]
) -> str:
    """Return why an order can't begin now, empty if it can.

    Args:
        order: The order.
        is_service_known: Whether the deployment in force has the service.
        versions: Versions of the endpoints of the service.
    """
    if not is_service_known:
        return f"service {order.service!r} is not in the deployment in force"
    duration_fault = find_duration_fault(order)
    if duration_fault:
        return duration_fault
    if order.to not in versions:
        return f"no endpoint of {order.service!r} has version {order.to!r}"
    if len(versions) < 2:
        return f"all endpoints of {order.service!r} have version {order.to!r}"
    return ""
