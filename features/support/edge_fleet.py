"""Several edge gateways before endpoints that name limits, on one manual clock."""

from collections.abc import Sequence

from features.support.edge import TICK_S, EdgeDriver
from hawthornyard.core import Message
from hawthornyard.edge.messages import Dispatch, EndpointNotice, GatewaysRead
from hawthornyard.frames import EndpointLimit, EndpointPace, GatewayLoads
from hawthornyard.gateway.messages import ReplyFailed

ANSWER_S = 0.05
FRAMES = (EndpointLimit, EndpointPace, GatewayLoads)


class Arrival:
    """A request that reached an endpoint."""

    __slots__ = ("at", "endpoint", "gateway")

    def __init__(self, at: float, endpoint: str, gateway: int) -> None:
        self.at = at
        self.endpoint = endpoint
        self.gateway = gateway


class EdgeFleet:
    """Gateways that exchange frames, and the endpoints that they call.

    Attributes:
        gateways: The gateways, by number.
        arrivals: Requests that reached endpoints, oldest first.
        limits: Requests a second that endpoints name, by endpoint; None for no limit.
        cut_off: Numbers of gateways whose frames are lost both ways.
        lost_every: Each how many frames one is lost, 0 for none.
    """

    __slots__ = (
        "_answers",
        "_n_frames",
        "_n_seen",
        "arrivals",
        "cut_off",
        "gateways",
        "limits",
        "lost_every",
    )

    def __init__(self, n: int, endpoints: Sequence[str]) -> None:
        self.limits: dict[str, float | None] = dict.fromkeys(endpoints)
        self.gateways = [self._start(index, n) for index in range(n)]
        self.arrivals: list[Arrival] = []
        self.cut_off: set[int] = set()
        self.lost_every = 0
        self._answers: list[tuple[float, int, Dispatch]] = []
        self._n_seen = [0] * n
        self._n_frames = 0

    def restart(self, index: int) -> None:
        """Replace a gateway by one that knows nothing but what the store says."""
        now = self.gateways[index].clock.now()
        gateway = self._start(index, len(self.gateways))
        gateway.clock.advance(now - gateway.clock.now())
        self.gateways[index] = gateway
        self._n_seen[index] = 0
        self._answers = [answer for answer in self._answers if answer[1] != index]

    def run(self, seconds: float, kind: str, per_s: float, senders: list[int]) -> None:
        """Let callers send requests at a rate, in turn to the given gateways."""
        due = 0.0
        n_sent = 0
        for _ in range(round(seconds / TICK_S)):
            due += per_s * TICK_S
            while due >= 1.0:
                due -= 1.0
                self.gateways[senders[n_sent % len(senders)]].call(kind)
                n_sent += 1
                self._exchange()
            for gateway in self.gateways:
                gateway.advance(TICK_S)
                gateway.confirm_operator_feed()
            self._exchange()
            self._answer()

    def most_in(self, endpoint: str, window_s: float, since: float) -> int:
        """Return the most requests that an endpoint got in any window of a length."""
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.endpoint == endpoint and arrival.at >= since
        ]
        return max(
            (sum(at <= other < at + window_s for other in times) for at in times),
            default=0,
        )

    def refusals(self) -> list[ReplyFailed]:
        """Return the refusals that callers got."""
        return [
            msg for gateway in self.gateways for msg in gateway.messages_of(ReplyFailed)
        ]

    def _start(self, index: int, n: int) -> EdgeDriver:
        gateway = EdgeDriver(f"gateway-{index}")
        gateway.push(GatewaysRead({f"gateway-{i}": f"peer-{i}" for i in range(n)}))
        gateway.push_deployment()
        for name in self.limits:
            gateway.add_endpoint(name)
        return gateway

    def _exchange(self) -> None:
        for index, gateway in enumerate(self.gateways):
            new = gateway.messages[self._n_seen[index] :]
            self._n_seen[index] = len(gateway.messages)
            for msg in new:
                if isinstance(msg, Dispatch):
                    now = gateway.clock.now()
                    self.arrivals.append(Arrival(now, msg.endpoint, index))
                    if not msg.is_stream:
                        self._answers.append((now + ANSWER_S, index, msg))
                elif isinstance(msg, FRAMES):
                    self._deliver(index, msg)

    def _deliver(self, sender: int, msg: Message) -> None:
        assert isinstance(msg, FRAMES)
        receiver = int(msg.peer.removeprefix("peer-"))
        self._n_frames += 1
        if self.lost_every and self._n_frames % self.lost_every == 0:
            return
        if not self.cut_off & {sender, receiver}:
            self.gateways[receiver].push(msg)

    def _answer(self) -> None:
        waiting, self._answers = self._answers, []
        for due_at, index, dispatch in waiting:
            gateway = self.gateways[index]
            if gateway.clock.now() < due_at:
                self._answers.append((due_at, index, dispatch))
                continue
            gateway.push(
                EndpointNotice(
                    dispatch.endpoint,
                    dispatch.born,
                    due_at - ANSWER_S,
                    is_signed=True,
                    limit_per_s=self.limits[dispatch.endpoint],
                )
            )
            gateway.answer_attempt(dispatch.attempt_id)
