"""Order the endpoint towards the plan and report what it holds."""

from .messages import (
    AskState,
    EndpointState,
    Order,
    OrderAnswered,
    SendOrder,
    StateAnswered,
)
from .reconcile import Reconcile

__all__ = [
    "AskState",
    "EndpointState",
    "Order",
    "OrderAnswered",
    "Reconcile",
    "SendOrder",
    "StateAnswered",
]
