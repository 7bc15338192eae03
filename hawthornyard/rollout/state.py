"""Define the state of a rollout as the store keeps it."""

from enum import Enum
from typing import Any

from ..core import Message


class Phase(Enum):
    """Phase of a rollout."""

    TEST = "test"
    MOVE = "move"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the rollout is over."""
        return self in (Phase.SUCCEEDED, Phase.ROLLED_BACK)


class RolloutState(Message):
    """State of a rollout, written by its holder.

    Attributes:
        service: Name of the service.
        to: Version that is to get the traffic.
        order_revision: Number that the store gave to the write of the order.
        duration_s: Seconds within which the rollout must end.
        started_ms: Time of the store's clock in milliseconds when it began.
        number: Number of the holder; it rises with each holder.
        holder: Name of the gateway that holds it.
        phase: Phase of the rollout.
        step: Index of the share in the test phase.
        reason: Why it is in this phase and step.
        until_ms: Time of the store's clock in milliseconds at which the lease ends.
        refused_revision: Number of the write of the last order that came while this
            one ran; 0 for none.
    """

    __slots__ = (
        "service",
        "to",
        "order_revision",
        "duration_s",
        "started_ms",
        "number",
        "holder",
        "phase",
        "step",
        "reason",
        "until_ms",
        "refused_revision",
    )

    def __init__(
        self,
        service: str,
        to: str,
        order_revision: int,
        duration_s: float,
        started_ms: float,
        *,
        number: int = 0,
        holder: str = "",
        phase: Phase = Phase.TEST,
        step: int = 0,
        reason: str = "",
        until_ms: float = 0.0,
        refused_revision: int = 0,
    ) -> None:
        self.service = service
        self.to = to
        self.order_revision = order_revision
        self.duration_s = duration_s
        self.started_ms = started_ms
        self.number = number
        self.holder = holder
        self.phase = phase
        self.step = step
        self.reason = reason
        self.until_ms = until_ms
        self.refused_revision = refused_revision

    def replaced(self, **fields: Any) -> "RolloutState":
        """Return a copy with other values in some fields."""
        values = {name: getattr(self, name) for name in self.fields()}
        return RolloutState(**{**values, **fields})
