"""Messages between the reconciling filter and the endpoint."""

from collections.abc import Sequence

from ...core import Message
from ...frames import PlanEntry


class Order(Message):
    """Desired state of the endpoint, with its fencing number.

    Attributes:
        fencing_number: Revision of the plan that contains the entry.
        entry: Desired state.
    """

    __slots__ = ("fencing_number", "entry")

    def __init__(self, fencing_number: int, entry: PlanEntry) -> None:
        self.fencing_number = fencing_number
        self.entry = entry


class EndpointState(Message):
    """Actual state that the endpoint reports.

    Attributes:
        fencing_number: Highest fencing number among the orders that the endpoint
            remembers.
        role: Current role.
        models: Models that are ready to serve.
        versions: Name of each model's weights, in the order of `models`.
        adapters: Adapters that are ready to serve.
        target: Entry of the last order, which the endpoint may still be loading;
            None if the endpoint does not report it.
    """

    __slots__ = ("fencing_number", "role", "models", "versions", "adapters", "target")

    def __init__(
        self,
        fencing_number: int,
        role: str,
        models: Sequence[str],
        versions: Sequence[str],
        adapters: Sequence[str],
        target: PlanEntry | None = None,
    ) -> None:
        self.fencing_number = fencing_number
        self.role = role
        self.models = list(models)
        self.versions = list(versions)
        self.adapters = list(adapters)
        self.target = target


class QueryState(Message):
    """Command to the I/O layer: read the state of the endpoint."""

    __slots__ = ()


class StateAnswered(Message):
    """Response to `QueryState`.

    Attributes:
        state: State of the endpoint, None if it did not answer or does not
            support orders.
        supports_orders: Whether the endpoint implements the order protocol; True
            if it did not answer.
    """

    __slots__ = ("state", "supports_orders")

    def __init__(
        self, state: EndpointState | None, supports_orders: bool = True
    ) -> None:
        self.state = state
        self.supports_orders = supports_orders


class SendOrder(Message):
    """Command to the I/O layer: send an order to the endpoint once."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class OrderAnswered(Message):
    """Response to `SendOrder`.

    Attributes:
        order: The order.
        accepted: Whether the endpoint accepted it, None if the reply was lost.
    """

    __slots__ = ("order", "accepted")

    def __init__(self, order: Order, accepted: bool | None) -> None:
        self.order = order
        self.accepted = accepted
