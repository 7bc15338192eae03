"""Reconciliation of the endpoint with the plan."""

from .messages import (
    EndpointState,
    Order,
    OrderAnswered,
    QueryState,
    SendOrder,
    StateAnswered,
)
from .reconcile import Reconcile

__all__ = [
    "EndpointState",
    "Order",
    "OrderAnswered",
    "QueryState",
    "Reconcile",
    "SendOrder",
    "StateAnswered",
]
