"""Follow what endpoints say of themselves in their answers."""

from collections.abc import Iterator

from ...core import Clock, Decision, Handlers, Message
from ..endpoints import Endpoint, Endpoints
from ..messages import EndpointNotice, LimitChanged, PaceRead


class FollowNotices:
    """Filter that records the limits, paces and pauses that endpoints tell of.

    Args:
        endpoints: Known endpoints.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_distrusted", "_endpoints", "handlers")

    def __init__(self, endpoints: Endpoints, clock: Clock) -> None:
        self._endpoints = endpoints
        self._distrusted: set[str] = set()
        self._clock = clock
        self.handlers: Handlers = {EndpointNotice: self._on_endpoint_notice}

    def _on_endpoint_notice(self, msg: EndpointNotice) -> Iterator[Message]:
        endpoint = self._endpoints.get(msg.endpoint)
        if endpoint is None or endpoint.entry.born != msg.born:
            # A new incarnation starts without the notices of the one before it.
            return
        if msg.pause_s is not None:
            yield self._learn_pause(endpoint, msg.pause_s, msg.asked_at)
        if msg.pace_factor is not None:
            yield from self._learn_pace(endpoint, msg.pace_factor)
        if msg.limit_per_s is not None or msg.is_signed:
            yield from self._learn_limit(endpoint, msg)

    def _learn_pause(
        self, endpoint: Endpoint, asked_s: float, asked_at: float
    ) -> Decision:
        pause = endpoint.allowance.pause
        before_s = pause.wait_s()
        is_longer = pause.extend(asked_s)
        return Decision(
            "endpoint_pause",
            reason="asked by the endpoint" if is_longer else "no longer than before",
            endpoint=endpoint.name,
            service=endpoint.entry.service,
            asked_s=asked_s,
            seconds=round(pause.wait_s(), 3),
            before_s=round(before_s, 3),
            age_s=round(self._clock.now() - asked_at, 3),
        )

    def _learn_pace(self, endpoint: Endpoint, factor: float) -> Iterator[Message]:
        service = endpoint.entry.service
        was_slow = endpoint.pace.is_slow
        if not endpoint.pace.learn(factor, self._clock.now()):
            return
        yield PaceRead(endpoint.name)
        yield from self._note_trust(endpoint, factor)
        if endpoint.pace.is_slow != was_slow:
            yield Decision(
                "pace",
                reason="slow" if not was_slow else "no longer slow",
                endpoint=endpoint.name,
                factor=factor,
            )
        if service not in self._endpoints.paced_services:
            self._endpoints.paced_services.add(service)
            yield Decision(
                "placed_by_pace",
                reason="an endpoint reports its pace",
                service=service,
                endpoint=endpoint.name,
                factor=factor,
            )

    def _note_trust(self, endpoint: Endpoint, factor: float) -> Iterator[Message]:
        if endpoint.pace.is_trusted == (endpoint.name not in self._distrusted):
            return
        is_trusted = endpoint.pace.is_trusted
        if is_trusted:
            self._distrusted.discard(endpoint.name)
        else:
            self._distrusted.add(endpoint.name)
        yield Decision(
            "pace_trust",
            reason="as measured" if is_trusted else "contradicted by measured gaps",
            endpoint=endpoint.name,
            factor=factor,
            usual_gap_s=round(endpoint.usual_gap_s, 3),
        )

    def _learn_limit(
        self, endpoint: Endpoint, msg: EndpointNotice
    ) -> Iterator[Message]:
        now = self._clock.now()
        before = endpoint.allowance.limit.per_s
        if not endpoint.allowance.limit.learn(msg.limit_per_s, msg.asked_at, now):
            return
        yield Decision(
            "endpoint_limit",
            reason="named by the endpoint",
            endpoint=endpoint.name,
            per_s=msg.limit_per_s,
            before=before,
            age_s=round(now - msg.asked_at, 3),
        )
        yield LimitChanged(endpoint.name)
