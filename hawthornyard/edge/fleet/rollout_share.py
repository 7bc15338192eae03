"""Count what goes to each version and report it to the holder of the rollout."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message, Tick
from ...frames import RolloutCounts
from ..endpoints import Endpoints
from ..inflight import InFlight
from ..messages import Cancel, Dispatch, Request
from ..peers import Peers
from ..rollout import Rollout
from ..rollouts import Rollouts

REPORT_INTERVAL_S = 0.5
# Gateways above which each reports less often, so that the holder gets no more than
# 100 reports a second up to the longest interval.
FULL_RATE_GATEWAYS = 50
# Longest interval, as a part of the bound on the time to a roll back. It is less than
# half of the time for which a share is granted, so that one lost answer takes nothing.
MAX_INTERVAL_PART = 0.25
# Least time between two reports; failures are reported as soon as it allows.
MIN_INTERVAL_S = 0.1


class ShareRollouts:
    """Filter that counts requests of each version and reports responses.

    Args:
        name: Name of the gateway.
        rollouts: Rollouts that operators ordered.
        endpoints: Known endpoints.
        inflight: Requests that are not answered yet.
        peers: The other gateways.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_endpoints",
        "_inflight",
        "_last",
        "_name",
        "_peers",
        "_rollouts",
        "_sequence",
        "handlers",
    )

    def __init__(
        self,
        name: str,
        rollouts: Rollouts,
        endpoints: Endpoints,
        inflight: InFlight,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._name = name
        self._rollouts = rollouts
        self._endpoints = endpoints
        self._inflight = inflight
        self._peers = peers
        self._clock = clock
        # Time, holder and bad responses of the last report, by service.
        self._last: dict[str, tuple[float, int, int]] = {}
        # Start above the numbers that an earlier incarnation of this gateway used.
        self._sequence = int(clock.now() * 1000)
        self.handlers: Handlers = {
            Dispatch: self._on_dispatch,
            Cancel: self._on_cancel,
            Tick: self._on_tick,
        }

    def _on_dispatch(self, msg: Dispatch) -> Iterator[Message]:
        yield msg
        request = self._inflight.by_attempt(msg.attempt_id)
        endpoint = self._endpoints.get(msg.endpoint)
        if request is not None and endpoint is not None:
            self._rollouts.note_dispatch(request, endpoint)

    def _on_cancel(self, msg: Cancel) -> Iterator[Message]:
        request = self._inflight.by_attempt(msg.attempt_id)
        if request is not None and self._rollouts.is_counted(request.service):
            self._note_unanswered(request)
        yield msg

    def _note_unanswered(self, request: Request) -> None:
        attempt = request.attempt
        if attempt is None or attempt.first_event_at is not None:
            return
        now = self._clock.now()
        if now >= request.deadline:
            self._rollouts.note_response(request, is_bad=True)
        elif now - attempt.sent_at > request.route.target_s:
            # The caller left: the response would have taken longer.
            self._rollouts.note_time(request, now - attempt.sent_at)

    def _on_tick(self, msg: Tick) -> Iterator[Message]:
        yield msg
        for rollout in self._rollouts:
            if not rollout.is_over and rollout.state is not None:
                self._rollouts.count_breaks(rollout)
                yield from self._report_if_due(rollout, msg.now)

    def _report_if_due(self, rollout: Rollout, now: float) -> Iterator[Message]:
        service = rollout.order.service
        number = rollout.state.number if rollout.state is not None else 0
        n_bad = rollout.counts.n_bad_new
        sent_at, last_number, last_n_bad = self._last.get(service, (0.0, 0, 0))
        is_news = n_bad > last_n_bad or number != last_number
        if now - sent_at < (MIN_INTERVAL_S if is_news else self._interval_s(rollout)):
            return
        if number != last_number:
            rollout.counts.send_all_again()
        self._last[service] = (now, number, n_bad)
        if rollout.judge_own() and rollout.own_verdict is not None:
            verdict = rollout.own_verdict
            yield Decision(
                "rollout_stopped",
                reason=f"own responses: {verdict.reason}",
                service=service,
                to=rollout.to,
                p=verdict.p,
                ratio=round(verdict.ratio, 3),
            )
        yield from self._report(rollout, now)

    def _interval_s(self, rollout: Rollout) -> float:
        slowdown = max(1.0, self._peers.n_gateways / FULL_RATE_GATEWAYS)
        bound_s = MAX_INTERVAL_PART * rollout.rollback_s
        return min(REPORT_INTERVAL_S * slowdown, bound_s)

    def _report(self, rollout: Rollout, now: float) -> Iterator[Message]:
        holder = rollout.state.holder if rollout.state is not None else ""
        address = self._peers.address(holder)
        if holder == self._name or address is None:
            return
        self._sequence += 1
        yield RolloutCounts(
            self._name,
            rollout.order.service,
            rollout.order.revision,
            self._sequence,
            rollout.counts.period(now),
            self._rollouts.n_old_running(rollout),
            rollout.counts.take_changed(now),
        ).with_peer(address)
