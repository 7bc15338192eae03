"""Find the route, the service and the team of a call."""

from collections.abc import Iterator, Sequence

from ...core import Chance, Clock, Handlers, Message
from ...errors import ErrorKind
from ...gateway.messages import ReplyFailed
from ..deployment import RouteRule, ServiceShare
from ..directory import Directory
from ..inflight import InFlight
from ..messages import Call, Matched, Request


class Match:
    """Turn a call into a request, or refuse it.

    Args:
        directory: Deployment in force.
        inflight: Where the request is held until it is answered.
        clock: Source of time.
        chance: Chooses among the services of a route.
    """

    __slots__ = ("_chance", "_clock", "_directory", "_inflight", "handlers")

    def __init__(
        self, directory: Directory, inflight: InFlight, clock: Clock, chance: Chance
    ) -> None:
        self._directory = directory
        self._inflight = inflight
        self._clock = clock
        self._chance = chance
        self.handlers: Handlers = {Call: self._on_call}

    def _on_call(self, msg: Call) -> Iterator[Message]:
        if not self._directory.is_ready:
            yield ReplyFailed(msg.call_id, ErrorKind.PLATFORM_UNAVAILABLE)
            return
        route = self._directory.route(msg.host, msg.path)
        if route is None:
            yield ReplyFailed(msg.call_id, ErrorKind.UNKNOWN_ROUTE)
            return
        team = ""
        priority = route.priority
        if not route.is_public and self._directory.needs_keys:
            if not self._directory.are_keys_valid:
                yield ReplyFailed(
                    msg.call_id,
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    f"keys were confirmed {self._directory.age_s:.1f} s ago",
                )
                return
            rule = self._directory.team(msg.key)
            if rule is None:
                yield ReplyFailed(msg.call_id, ErrorKind.UNAUTHENTICATED)
                return
            team = rule.name
            if rule.priority is not None:
                priority = rule.priority
        yield Matched(self._request(msg, route, team, priority))

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
            self._choose(route.shares),
            team=team,
            priority=priority,
            arrived_at=now,
            deadline=now + timeout_s,
        )
        self._inflight.add(request)
        return request

    def _choose(self, shares: Sequence[ServiceShare]) -> str:
        if len(shares) == 1:
            return shares[0].service
        left = self._chance.random() * sum(share.weight for share in shares)
        for share in shares:
            left -= share.weight
            if left < 0:
                return share.service
        return shares[-1].service
