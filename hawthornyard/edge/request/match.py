"""Match calls to a route, a service and a team."""

from collections.abc import Iterator, Sequence

from ...core import Clock, Decision, Handlers, Message, RandomSource
from ...errors import ANSWERS, ErrorKind
from ...gateway.messages import ReplyFailed
from ..deployment import RouteRule, ServiceShare
from ..directory import Directory
from ..inflight import InFlight
from ..messages import Call, Matched, Request


class Match:
    """Filter that turns calls into requests or refuses them.

    Args:
        directory: Deployment in force.
        inflight: Requests that are not answered yet.
        clock: Source of time.
        random_source: Source of randomness for the choice among a route's services.
    """

    __slots__ = ("_clock", "_directory", "_inflight", "_random_source", "handlers")

    def __init__(
        self,
        directory: Directory,
        inflight: InFlight,
        clock: Clock,
        random_source: RandomSource,
    ) -> None:
        self._directory = directory
        self._inflight = inflight
        self._clock = clock
        self._random_source = random_source
        self.handlers: Handlers = {Call: self._on_call}

    def _on_call(self, msg: Call) -> Iterator[Message]:
        if not self._directory.is_ready:
            yield from self._refuse(msg, ErrorKind.PLATFORM_UNAVAILABLE)
            return
        route = self._directory.route(msg.host, msg.path)
        if route is None:
            yield from self._refuse(msg, ErrorKind.UNKNOWN_ROUTE)
            return
        if route.is_public or not self._directory.needs_keys:
            yield Matched(self._request(msg, route, "", route.priority))
            return
        if not self._directory.are_keys_valid:
            yield from self._refuse(msg, ErrorKind.PLATFORM_UNAVAILABLE, route)
            return
        team = self._directory.team(msg.key)
        if team is None:
            yield from self._refuse(msg, ErrorKind.UNAUTHENTICATED, route)
            return
        priority = route.priority if team.priority is None else team.priority
        yield Matched(self._request(msg, route, team.name, priority))

    def _refuse(
        self, call: Call, kind: ErrorKind, route: RouteRule | None = None
    ) -> Iterator[Message]:
        yield Decision(
            "refused",
            request_id=call.request_id,
            reason=kind.value,
            status=ANSWERS[kind].status,
            route=route.name if route is not None else "",
            version=self._directory.version,
            age_s=round(self._directory.age_s, 3),
        )
        yield ReplyFailed(call.call_id, kind)

    def _request(
        self, call: Call, route: RouteRule, team: str, priority: int
    ) -> Request:
        now = self._clock.now()
        timeout_s = route.timeout_s
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        request = Request(
            call,
            route,
            self._choose_service(route.shares),
            team=team,
            priority=priority,
            arrived_at=now,
            deadline=now + timeout_s,
        )
        self._inflight.add(request)
        return request

    def _choose_service(self, shares: Sequence[ServiceShare]) -> str:
        if len(shares) == 1:
            return shares[0].service
        left = self._random_source.random() * sum(share.weight for share in shares)
        for share in shares:
            left -= share.weight
            if left < 0:
                return share.service
        return shares[-1].service
