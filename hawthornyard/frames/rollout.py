"""What gateways tell one another of a rollout."""

from collections.abc import Sequence

from ..core import Message
from .frame import Frame


class RolloutTally(Message):
    """Responses of one version on one route to requests sent in one period.

    Attributes:
        periods_ago: How many periods ago the requests were sent.
        route: Name of the route.
        is_new: Whether they are of the new version.
        n: Responses.
        n_bad: Failed responses among them.
        n_timed: Times that were measured.
        sum_log: Sum of the natural logarithms of the times in seconds.
        sum_log_sq: Sum of the squares of these logarithms.
    """

    __slots__ = (
        "periods_ago",
        "route",
        "is_new",
        "n",
        "n_bad",
        "n_timed",
        "sum_log",
        "sum_log_sq",
    )

    def __init__(
        self,
        periods_ago: int,
        route: str,
        is_new: bool,
        n: int,
        n_bad: int,
        n_timed: int,
        sum_log: float,
        sum_log_sq: float,
    ) -> None:
        self.periods_ago = periods_ago
        self.route = route
        self.is_new = is_new
        self.n = n
        self.n_bad = n_bad
        self.n_timed = n_timed
        self.sum_log = sum_log
        self.sum_log_sq = sum_log_sq


class RolloutCounts(Frame):
    """Gateway to the holder of a rollout: what the sender counted.

    Attributes:
        gateway: Name of the sending gateway.
        service: Name of the service.
        revision: Number of the write of the order.
        sequence: Sequence number; a lower one arrived late.
        period: Number of the sender's present period.
        n_old_running: Requests that the sender runs at old endpoints and that get no
            more, -1 while they may get more.
        tallies: All counts of the periods in which some have changed.
    """

    __slots__ = (
        "gateway",
        "service",
        "revision",
        "sequence",
        "period",
        "n_old_running",
        "tallies",
    )

    def __init__(
        self,
        gateway: str,
        service: str,
        revision: int,
        sequence: int,
        period: int,
        n_old_running: int,
        tallies: Sequence[RolloutTally],
    ) -> None:
        self.gateway = gateway
        self.service = service
        self.revision = revision
        self.sequence = sequence
        self.period = period
        self.n_old_running = n_old_running
        self.tallies = tallies


class RolloutShare(Frame):
    """Holder to gateway: the phase and step of a rollout.

    The share that follows from it may be used for a few seconds only.

    Attributes:
        holder: Name of the sending gateway.
        service: Name of the service.
        to: Version that is to get the traffic.
        revision: Number of the write of the order.
        number: Number of the holder; it rises with each holder.
        phase: Phase, as its text.
        step: Index of the share in the test phase.
    """

    __slots__ = ("holder", "service", "to", "revision", "number", "phase", "step")

    def __init__(
        self,
        holder: str,
        service: str,
        to: str,
        revision: int,
        number: int,
        phase: str,
        step: int,
    ) -> None:
        self.holder = holder
        self.service = service
        self.to = to
        self.revision = revision
        self.number = number
        self.phase = phase
        self.step = step
