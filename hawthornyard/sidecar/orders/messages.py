"""Define the messages between the order filters and the endpoint."""

from collections.abc import Sequence

from ...core import Message
from ...frames import PlanEntry


class Order(Message):
    """A desired state for the endpoint, with its fencing number.

    Attributes:
        fencing_number: Revision of the plan.
        entry: What the endpoint is to hold.
    """

    __slots__ = ("fencing_number", "entry")

    def __init__(self, fencing_number: int, entry: PlanEntry) -> None:
        self.fencing_number = fencing_number
        self.entry = entry


class EndpointState(Message):
    """What the endpoint says of itself.

    Attributes:
        fencing_number: Highest number it was ordered with, as far as it knows.
        role: Role that it has.
        models: Models that are ready to serve.
        versions: Weights of each model, in the order of `models`.
        adapters: Adapters that are ready.
        target: Entry that it was last ordered to, which it may still load; None
            for an endpoint that does not say.
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
    """A question to the endpoint: what do you hold?"""

    __slots__ = ()


class StateAnswered(Message):
    """The answer to `QueryState`.

    Attributes:
        state: What the endpoint holds, None if it did not answer.
        supports_orders: False if the endpoint knows no orders at all.
    """

    __slots__ = ("state", "supports_orders")

    def __init__(
        self, state: EndpointState | None, supports_orders: bool = True
    ) -> None:
        self.state = state
        self.supports_orders = supports_orders


class SendOrder(Message):
    """An order to the rim: give the endpoint this order, once."""

    __slots__ = ("order",)

    def __init__(self, order: Order) -> None:
        self.order = order


class OrderAnswered(Message):
    """What became of an order.

    Attributes:
        order: The order.
        accepted: False if it was refused, None if the reply was lost.
    """

    __slots__ = ("order", "accepted")

    def __init__(self, order: Order, accepted: bool | None) -> None:
        self.order = order
        self.accepted = accepted
